"""Report on the effects or the progress of a zone withdrawal."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from hyssopway.control.apply.budgets import find_broken_budget, list_budgets
from hyssopway.control.record import VmState

from .zone_steps import count_missing, list_spares

if TYPE_CHECKING:
    from hyssopway.control import ControlState
    from hyssopway.control.record import Vm
    from hyssopway.document import EnvironmentDocument


def report_zone(state: ControlState, *, zone: str) -> dict[str, Any]:
    """Returns the effects of withdrawing a zone, without changing anything."""
    document = state.document()
    record = state.tables.zones[zone]
    vms = [vm for vm in state.tables.vms.values() if vm.zone == zone]
    pools = {vm.pool for vm in vms}
    missing = count_missing(state, zone=record)
    return {
        "zone": record,
        "vms": Counter(vm.state.value for vm in vms),
        "budgets": [_report_pool(state, document=document, pool=pool, vms=vms) for pool in sorted(pools)]
        if document
        else [],
        "services": [service.name for service in document.services if service.pool in pools]
        if document
        else [],
        "jobs": _report_jobs(state, vms=vms),
        "missing_vms": missing,
        "spare_vms": [vm.name for vm in list_spares(state, outside=zone)],
        "stopped_by_failures": find_broken_budget(state),
    }


def _report_pool(
    state: ControlState, *, document: EnvironmentDocument, pool: str, vms: list[Vm]
) -> dict[str, Any]:
    in_pool = [vm for vm in state.tables.vms.values() if vm.pool == pool]
    down = sum(vm.state is not VmState.READY for vm in in_pool)
    to_empty = sum(vm.pool == pool and vm.state is VmState.READY for vm in vms)
    allowed = min((budget.max_down for _, budget in list_budgets(document, pool=pool)), default=0)
    at_once = max(0, min(to_empty, allowed - down))
    return {
        "pool": pool,
        "vms": len(in_pool),
        "down": down,
        "max_down": allowed,
        "to_empty": to_empty,
        "emptied_at_once": at_once,
        "kept_waiting": to_empty - at_once,
    }


def _report_jobs(state: ControlState, *, vms: list[Vm]) -> dict[str, int]:
    jobs = [state.tables.jobs[name] for vm in vms for name in state.indexes.running.get(vm.name, ())]
    return {
        "running": len(jobs),
        "urgent": sum(job.spec.urgent for job in jobs),
        "checkpointed": sum(job.spec.checkpointable for job in jobs),
        "waited_for": sum(not job.spec.checkpointable for job in jobs),
    }


__all__ = ["report_zone"]
