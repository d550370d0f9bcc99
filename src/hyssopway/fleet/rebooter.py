"""Has the platform reboot the VMs of waves."""

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
    """One task for each VM that is rebooting.

    Operation ids come from wave and VM, so a new leader asks for the same operations again and the
    platform does none of them twice.

    Attributes:
        platform: The platform.
        tasks: Tasks by wave and VM.
        returned: Waves and VMs that the platform lists as rebooted and returned.
    """

    __slots__ = ("platform", "returned", "tasks")

    def __init__(self, *, platform: PlatformClient) -> None:
        self.platform = platform
        self.tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.returned: set[tuple[str, str]] = set()

    def reconcile(self, state: ControlState) -> None:
        """Starts the tasks of VMs that are rebooting by now and drops those of others."""
        wanted = {
            (wave.wave_id, vm)
            for wave in state.tables.waves.values()
            for vm in wave.select(WaveVmStatus.REBOOTING)
        }
        self.returned &= wanted
        for key in [key for key, task in self.tasks.items() if task.done() or key not in wanted]:
            _end(self.tasks.pop(key))
        for key in sorted(wanted - self.returned - self.tasks.keys()):
            self.tasks[key] = asyncio.create_task(
                self._reboot(wave=key[0], vm=key[1]), name=f"reboot {key[1]}"
            )

    def stop(self) -> None:
        """Stops asking; the platform goes on with what it was asked for."""
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


def _end(task: asyncio.Task[None]) -> None:
    """Cancels a task, or reports the fault that ended it: the next round starts it again."""
    if task.cancel() or task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log_event(Event.TASK_FAILED, task=task.get_name(), error=repr(error))


__all__ = ["Rebooter"]
