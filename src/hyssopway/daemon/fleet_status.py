"""Fleet section of the status report."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from hyssopway.control.apply.waves import is_active
from hyssopway.control.record import ZoneStatus
from hyssopway.fleet.drains import find_overdue_drains

if TYPE_CHECKING:
    from hyssopway.control import ControlState


def describe_fleet(state: ControlState, *, now_ms: int) -> dict[str, Any]:
    """Returns active waves, permits, zones out of service and drains that need an operator's decision."""
    tables = state.tables
    return {
        "waves": [
            {
                "wave": wave.wave_id,
                "status": wave.status,
                "reason": wave.reason,
                "progress": Counter(vm.status.value for vm in wave.vms.values()),
            }
            for wave in tables.waves.values()
            if is_active(wave)
        ],
        "permits": Counter(permit.purpose.value for permit in tables.permits.values()),
        "zones_out": [
            {"zone": zone.name, "status": zone.status, "changed_by": zone.changed_by}
            for zone in tables.zones.values()
            if zone.status is not ZoneStatus.OPEN
        ],
        "questions": [
            {"vm": permit.vm, "purpose": permit.purpose, "waiting_s": (now_ms - permit.at_ms) / 1000}
            for permit in find_overdue_drains(state, now_ms=now_ms)
        ],
    }


__all__ = ["describe_fleet"]
