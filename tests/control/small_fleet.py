"""A replicated state with a small fleet: three pools of eight VMs in two zones."""

from __future__ import annotations

from hyssopway_standins.state_machine import StateMachineStandIn

BUDGET = {"max_down": 2, "max_down_per_rack": 1, "max_down_per_zone": 2}


def small_document(**budget):
    return {
        "name": "small",
        "zones": ["east", "west"],
        "pools": [
            {"name": "web", "budget": BUDGET | budget},
            {"name": "batch", "budget": dict(BUDGET)},
            {"name": "spare", "spare": True, "budget": dict(BUDGET)},
        ],
        "services": [{"name": "plan", "pool": "web"}],
    }


def small_fleet(**budget):
    fleet = StateMachineStandIn.prepare(data=small_document(**budget))
    for pool in ("web", "batch", "spare"):
        for number in range(8):
            zone = ("east", "west")[number % 2]
            fleet.register(f"{pool}-{number}", zone=zone, rack=f"{zone}-{number // 4}", pool=pool)
    return fleet
