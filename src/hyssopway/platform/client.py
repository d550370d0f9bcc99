"""HTTP client of the platform's API."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import aiohttp
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from hyssopway.event import Event, log_event
from hyssopway.result import Failure, ResultCode, WorkState

from .vm import PlatformVm

if TYPE_CHECKING:
    from .action import PlatformAction

T = TypeVar("T")

CALL_TIMEOUT_S = 5.0
POLL_S = 0.5

_VM = TypeAdapter(PlatformVm)
_VMS = TypeAdapter(list[PlatformVm])


class PlatformClient:
    """Client of the platform. Each operation carries an ID, which makes its retries idempotent.

    Attributes:
        url: Base URL of the platform.
        session: HTTP session.
        call_timeout_s: Timeout of one call in seconds.
        poll_s: Seconds between two polls of a VM.
    """

    __slots__ = ("call_timeout_s", "poll_s", "session", "url")

    def __init__(
        self,
        *,
        url: str,
        session: aiohttp.ClientSession,
        call_timeout_s: float = CALL_TIMEOUT_S,
        poll_s: float = POLL_S,
    ) -> None:
        self.url = url
        self.session = session
        self.call_timeout_s = call_timeout_s
        self.poll_s = poll_s

    @staticmethod
    def open(*, url: str, call_timeout_s: float = CALL_TIMEOUT_S, poll_s: float = POLL_S) -> PlatformClient:
        """Opens a client with its own session.

        The sessions for endpoints are unsuitable: their request tracing expects a context that calls to
        the platform lack, and they send no content type.
        """
        return PlatformClient(
            url=url, session=aiohttp.ClientSession(), call_timeout_s=call_timeout_s, poll_s=poll_s
        )

    async def close(self) -> None:
        """Closes the session."""
        await self.session.close()

    async def list_vms(self) -> Result[list[PlatformVm], Failure]:
        """Lists all VMs."""
        return await self._call("GET", "/vms", adapter=_VMS)

    async def read_vm(self, *, vm: str) -> Result[PlatformVm, Failure]:
        """Reads one VM."""
        return await self._call("GET", f"/vms/{vm}", adapter=_VM)

    async def start(
        self, *, vm: str, action: PlatformAction, operation_id: str
    ) -> Result[PlatformVm, Failure]:
        """Requests an operation once; a successful response does not prove that it took effect."""
        body = {"operation_id": operation_id}
        return await self._call("POST", f"/vms/{vm}/{action}", adapter=_VM, body=body)

    async def complete(
        self, *, vm: str, action: PlatformAction, operation_id: str, timeout_s: float
    ) -> Result[PlatformVm, Failure]:
        """Requests an operation until the platform lists it as completed.

        Only a later read of the VM counts, because platforms may report success before the operation took
        effect. Retries carry the same operation ID.

        Returns:
            The VM after the operation completed, PLATFORM_REFUSED, or at the timeout the last failure.
        """
        last = _uncertain(f"{action} of VM {vm} is not listed as completed")
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    result = await self._attempt(vm=vm, action=action, operation_id=operation_id)
                    if result.is_ok() or result.error.code is ResultCode.PLATFORM_REFUSED:
                        return result
                    last = result.error
                    await asyncio.sleep(self.poll_s)
        except TimeoutError:
            return Error(last)

    async def _attempt(
        self, *, vm: str, action: PlatformAction, operation_id: str
    ) -> Result[PlatformVm, Failure]:
        current = await self.read_vm(vm=vm)
        if current.is_ok() and operation_id in current.ok.operations:
            return current
        started = await self.start(vm=vm, action=action, operation_id=operation_id)
        if started.is_error():
            return started
        current = await self.read_vm(vm=vm)
        if current.is_ok() and operation_id not in current.ok.operations:
            return Error(_uncertain(f"{action} of VM {vm} was accepted but is not listed as completed"))
        return current

    async def _call(
        self, method: str, path: str, *, adapter: TypeAdapter[T], body: object = None
    ) -> Result[T, Failure]:
        result = await self._send(method, path, adapter=adapter, body=body)
        if result.is_error():
            log_event(Event.PLATFORM_FAILED, call=f"{method} {path}", error=result.error.message)
        return result

    async def _send(
        self, method: str, path: str, *, adapter: TypeAdapter[T], body: object
    ) -> Result[T, Failure]:
        timeout = aiohttp.ClientTimeout(total=self.call_timeout_s)
        url = f"{self.url}{path}"
        try:
            async with self.session.request(method, url, json=body, timeout=timeout) as response:
                data = await response.read()
        except aiohttp.ClientConnectorError as error:
            message = f"the platform is unreachable: {error}"
            return Error(Failure(code=ResultCode.PLATFORM_UNREACHABLE, message=message))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Error(_uncertain(f"no response from the platform: {error!r}"))
        if 400 <= response.status < 500:
            message = f"the platform refused {method} {path} with HTTP {response.status}"
            return Error(Failure(code=ResultCode.PLATFORM_REFUSED, message=message))
        if response.status >= 500:
            return Error(_uncertain(f"the platform responded with HTTP {response.status}"))
        try:
            return Ok(adapter.validate_json(data))
        except ValidationError as error:
            return Error(_uncertain(f"the platform's response is invalid: {error.error_count()} problems"))


def _uncertain(message: str) -> Failure:
    return Failure(code=ResultCode.PLATFORM_UNCERTAIN, message=message, work=WorkState.MAY_HAVE_RUN)


__all__ = ["PlatformClient"]
