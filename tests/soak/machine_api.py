"""Stand-in for the platform's machine API. It lists no machines, so none are moved."""

from __future__ import annotations

from aiohttp import web


class MachineApi:
    """Serves an empty list of machines.

    Attributes:
        address: Listen address as ``IP:PORT``.
    """

    def __init__(self) -> None:
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        app = web.Application()
        app.router.add_get("/hyssopway/machines", self._list_machines)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _list_machines(self, _request: web.Request) -> web.Response:
        return web.json_response({"machines": [], "next_page_token": ""})


__all__ = ["MachineApi"]
