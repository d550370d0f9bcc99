"""Free capacity of a VM at the start of a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssopway.scheduling.crash_isolation import NO_SUSPECTS, SuspectLoad

from .free_capacity import FreeCapacity

if TYPE_CHECKING:
    from hyssopway.workflow import Usage, VmRecord

MAX_COUNTED_FAILURES = 5


def compute_free_capacity(
    record: VmRecord,
    *,
    use: Usage | None,
    failures: int,
    is_probed: bool,
    awaits_maintenance: bool,
    known_pairs: dict[tuple[str, str], bool],
    machines_can_leave: bool,
    suspect_load: SuspectLoad = NO_SUSPECTS,
) -> FreeCapacity:
    """Returns the capacity of a VM that its runs leave free.

    Args:
        record: Record of the VM.
        use: Resources that the runs on the VM use; None if it has no runs.
        failures: Consecutive runs that failed on the VM.
        is_probed: Whether the VM gets only one run, to see whether it has recovered.
        awaits_maintenance: Whether the machine awaits maintenance.
        known_pairs: Whether each known pair of latency-bound and best-effort image disturbs.
        machines_can_leave: Whether machines can leave their pool.
        suspect_load: Runs on the VM whose tasks may crash it.
    """
    capacity = record.capacity
    return FreeCapacity(
        vm_id=record.vm_id,
        zone=record.zone,
        labels=record.labels,
        cpu_millis=capacity.cpu_millis - (use.cpu_millis if use else 0),
        memory_mb=capacity.memory_mb - (use.memory_mb if use else 0),
        accelerators=capacity.accelerators - (use.accelerators if use else 0),
        serving=use.latency_bound if use else 0,
        best_effort=use.best_effort if use else 0,
        latency_bound_images=tuple(use.latency_bound_images.elements()) if use and known_pairs else (),
        best_effort_images=tuple(use.best_effort_images.elements()) if use and known_pairs else (),
        known_pairs=known_pairs,
        has_long_running=machines_can_leave and use is not None and use.long_running > 0,
        recent_failures=min(failures, MAX_COUNTED_FAILURES),
        runs=use.runs if use else 0,
        suspect_load=suspect_load,
        is_probed=is_probed,
        awaits_maintenance=awaits_maintenance,
    )


__all__ = ["compute_free_capacity"]
