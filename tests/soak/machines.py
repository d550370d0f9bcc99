"""The platform's interface for machines: it lists none, so nothing moves."""

from __future__ import annotations

from aiohttp import web


class Machines:
    """Answers lists of machines.

    Attributes:
        address: Own address as ``IP:PORT``.
    """

    def __init__(self) -> None:
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listens on a free port."""
        app = web.Application()
        app.router.add_get("/hyssopway/machines", self._list)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stops to listen."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _list(self, _request: web.Request) -> web.Response:
        return web.json_response({"machines": [], "next_page_token": ""})


__all__ = ["Machines"]
