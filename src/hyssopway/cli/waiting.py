"""Waits until a change is in force on every reachable process, or a VM is drained."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from .command_error import CommandError
from .exit_status import ExitStatus
from .output import write_line, write_note

if TYPE_CHECKING:
    from .connection import Connection

POLL_S = 0.2


def wait_in_force(connection: Connection, *, index: int, timeout_s: float) -> None:
    """Waits until every reachable process has applied a log index, and names the others.

    Raises:
        CommandError: Some reachable process has not applied it in time.
    """
    started = time.monotonic()
    reported: list[str] | None = None
    while True:
        rollout = connection.read(f"/v1/status?index={index}")["rollout"]
        elapsed_s = time.monotonic() - started
        if rollout["in_force"] != reported:
            reported = rollout["in_force"]
            write_note(f"in force on {len(reported)} of {_count(rollout)} processes after {elapsed_s:.1f} s")
        if not rollout["behind"] and rollout["old_ends_in_s"] is not None:
            write_line("in force on every reachable process")
            _wait_for_authority(rollout)
            return
        if elapsed_s > timeout_s:
            _name_authority(rollout, names=rollout["behind"])
            message = f"not in force after {timeout_s:g} s on: {', '.join(rollout['behind'])}"
            raise CommandError(status=ExitStatus.WAIT_INCOMPLETE, message=message)
        time.sleep(POLL_S)


def wait_drained(connection: Connection, *, vm: str, timeout_s: float) -> None:
    """Waits until a VM is empty and shows what it still runs.

    Raises:
        CommandError: The VM is not empty in time, or its drain ended in another way.
    """
    started = time.monotonic()
    reported = -1
    while True:
        items = [item for item in connection.read("/v1/vms")["vms"] if item["vm"]["name"] == vm]
        state, left = (items[0]["vm"]["state"], len(items[0]["running"])) if items else ("unknown", 0)
        if state == "drained":
            write_line(f"VM {vm} is drained")
            return
        elapsed_s = time.monotonic() - started
        if state != "draining" or elapsed_s > timeout_s:
            message = f"VM {vm} is {state} with {left} tasks after {elapsed_s:.0f} s"
            raise CommandError(status=ExitStatus.WAIT_INCOMPLETE, message=message)
        if left != reported:
            reported = left
            write_note(f"{left} tasks left after {elapsed_s:.1f} s")
        time.sleep(POLL_S)


def _count(rollout: dict[str, Any]) -> int:
    return sum(len(rollout[name]) for name in ("in_force", "behind", "unreachable"))


def _wait_for_authority(rollout: dict[str, Any]) -> None:
    if rollout["unreachable"]:
        _name_authority(rollout, names=rollout["unreachable"])
        time.sleep(float(rollout["old_ends_in_s"]))


def _name_authority(rollout: dict[str, Any], *, names: list[str]) -> None:
    left_s = rollout["old_ends_in_s"]
    if left_s is None:
        return
    # Rounded up to whole seconds, so that the time shown is never too early.
    at = time.strftime("%H:%M:%S", time.localtime(time.time() + left_s + 1))
    write_line(f"not confirmed on {', '.join(names)}: without authority on older state from {at}")


__all__ = ["wait_drained", "wait_in_force"]
