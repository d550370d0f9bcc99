"""Polling until a change is active on every reachable process, or until a VM is drained."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from .command_error import CommandError
from .exit_status import ExitStatus
from .output import write_diagnostic, write_line

if TYPE_CHECKING:
    from .api_client import ApiClient

POLL_INTERVAL_S = 0.2


def wait_until_active(client: ApiClient, *, index: int, timeout_s: float) -> None:
    """Waits until every reachable process has applied a log index and reports unreachable ones.

    If some are unreachable, also waits until their authority to act on older state has expired.

    Raises:
        CommandError: A reachable process has not applied the index within the timeout.
    """
    started = time.monotonic()
    last_reported: list[str] | None = None
    while True:
        rollout = client.read(f"/v1/status?index={index}")["rollout"]
        elapsed_s = time.monotonic() - started
        if rollout["in_force"] != last_reported:
            last_reported = rollout["in_force"]
            write_diagnostic(
                f"active on {len(last_reported)} of {_count_processes(rollout)} processes after {elapsed_s:.1f} s"
            )
        if not rollout["behind"] and rollout["old_ends_in_s"] is not None:
            write_line("active on every reachable process")
            _wait_for_authority_expiry(rollout)
            return
        if elapsed_s > timeout_s:
            _report_authority_expiry(rollout, processes=rollout["behind"])
            message = f"not active after {timeout_s:g} s on: {', '.join(rollout['behind'])}"
            raise CommandError(status=ExitStatus.WAIT_INCOMPLETE, message=message)
        time.sleep(POLL_INTERVAL_S)


def wait_until_drained(client: ApiClient, *, vm: str, timeout_s: float) -> None:
    """Waits until a VM is drained and reports the number of remaining tasks.

    Raises:
        CommandError: The VM is not drained within the timeout, or its drain ended in another way.
    """
    started = time.monotonic()
    last_reported = -1
    while True:
        items = [item for item in client.read("/v1/vms")["vms"] if item["vm"]["name"] == vm]
        state, remaining = (items[0]["vm"]["state"], len(items[0]["running"])) if items else ("unknown", 0)
        if state == "drained":
            write_line(f"VM {vm} is drained")
            return
        elapsed_s = time.monotonic() - started
        if state != "draining" or elapsed_s > timeout_s:
            message = f"VM {vm} is {state} with {remaining} tasks after {elapsed_s:.0f} s"
            raise CommandError(status=ExitStatus.WAIT_INCOMPLETE, message=message)
        if remaining != last_reported:
            last_reported = remaining
            write_diagnostic(f"{remaining} tasks remaining after {elapsed_s:.1f} s")
        time.sleep(POLL_INTERVAL_S)


def _count_processes(rollout: dict[str, Any]) -> int:
    return sum(len(rollout[name]) for name in ("in_force", "behind", "unreachable"))


def _wait_for_authority_expiry(rollout: dict[str, Any]) -> None:
    if rollout["unreachable"]:
        _report_authority_expiry(rollout, processes=rollout["unreachable"])
        time.sleep(float(rollout["old_ends_in_s"]))


def _report_authority_expiry(rollout: dict[str, Any], *, processes: list[str]) -> None:
    remaining_s = rollout["old_ends_in_s"]
    if remaining_s is None:
        return
    # Adds 1 s because the format truncates to whole seconds: the time shown must not be too early.
    expires_at = time.strftime("%H:%M:%S", time.localtime(time.time() + remaining_s + 1))
    write_line(
        f"not confirmed on {', '.join(processes)}: authority to act on older state expires at {expires_at}"
    )


__all__ = ["wait_until_active", "wait_until_drained"]
