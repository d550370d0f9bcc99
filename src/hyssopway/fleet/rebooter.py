"""Reboots the VMs of waves through the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.control.record import WaveVmStatus
from hyssopway.event import Event, log_event
from hyssopway.platform import PlatformAction

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.platform import PlatformClient

OPERATION_TIMEOUT_S = 60.0


class Rebooter:
    """Runs one task for each VM that is rebooting.

    Operation IDs are derived from wave and VM, so a new leader repeats the same requests and the platform
    executes each operation only once.

    Attributes:
        platform: Client of the platform.
        tasks: Reboot tasks by wave and VM.
        returned: Pairs of wave and VM that the platform reports as rebooted and returned.
    """

    __slots__ = ("platform", "returned", "tasks")

    def __init__(self, *, platform: PlatformClient) -> None:
        self.platform = platform
        self.tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.returned: set[tuple[str, str]] = set()

    def reconcile(self, state: ControlState) -> None:
        """Starts a task for each VM that is rebooting and ends the tasks of all other VMs."""
        wanted = {
            (wave.wave_id, vm)
            for wave in state.tables.waves.values()
            for vm in wave.select(WaveVmStatus.REBOOTING)
        }
        self.returned &= wanted
        for key in [key for key, task in self.tasks.items() if task.done() or key not in wanted]:
            _end_task(self.tasks.pop(key))
        for key in sorted(wanted - self.returned - self.tasks.keys()):
            self.tasks[key] = asyncio.create_task(
                self._reboot(wave=key[0], vm=key[1]), name=f"reboot {key[1]}"
            )

    def stop(self) -> None:
        """Cancels all tasks; the platform continues the operations that were requested."""
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()
        self.returned.clear()

    async def _reboot(self, *, wave: str, vm: str) -> None:
        for action in (PlatformAction.DRAIN, PlatformAction.REBOOT, PlatformAction.RETURN):
            result = await self.platform.complete(
                vm=vm,
                action=action,
                operation_id=f"{wave}-{vm}-{action}",
                timeout_s=OPERATION_TIMEOUT_S,
            )
            if result.is_error():
                return
        self.returned.add((wave, vm))


def _end_task(task: asyncio.Task[None]) -> None:
    """Cancels a task, or logs the exception that ended it; the next round starts it again."""
    if task.cancel() or task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event(Event.TASK_FAILED, task=task.get_name(), error=repr(error))


__all__ = ["Rebooter"]
