"""Checks the VMs that are down against availability budgets."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hyssopway.control.record import PermitPurpose, VmState, ZoneStatus

if TYPE_CHECKING:
    from hyssopway.control.record import Vm
    from hyssopway.control.state import ControlState
    from hyssopway.document import Budget, EnvironmentDocument


def find_exhausted_budget(state: ControlState, *, vm: Vm, purpose: PermitPurpose) -> str:
    """Describes the budget that one more stopped VM would exceed; empty if there is none."""
    document = state.document()
    if document is None or document.pool(name=vm.pool) is None:
        # A pool that a newer document removed has no budget to protect; its VMs can only be moved away.
        return "" if document and purpose is PermitPurpose.MOVE else f"pool {vm.pool} has no budget"
    down = [other for other in state.tables.vms.values() if other.pool == vm.pool and _is_down(other)]
    others = [other for other in down if other.name != vm.name]
    for owner, budget in list_budgets(document, pool=vm.pool):
        exhausted = _find_exhausted_limit(owner=owner, budget=budget, others=others, vm=vm, purpose=purpose)
        if exhausted:
            return exhausted
    return ""


def find_broken_budget(state: ControlState) -> str:
    """Describes a budget that failures alone exceed; empty if there is none."""
    document = state.document()
    if document is None:
        return ""
    failed: dict[str, list[Vm]] = {}
    for vm in state.tables.vms.values():
        if vm.state in (VmState.DOWN, VmState.QUARANTINED):
            failed.setdefault(vm.pool, []).append(vm)
    for pool, vms in failed.items():
        for owner, budget in list_budgets(document, pool=pool):
            broken = _find_broken_limit(state, owner=owner, budget=budget, failed=vms)
            if broken:
                return broken
    return ""


def list_budgets(document: EnvironmentDocument, *, pool: str) -> list[tuple[str, Budget]]:
    """Returns the budgets that apply to the VMs of a pool, each with its owner: the pool or a service."""
    found = document.pool(name=pool)
    services = [service for service in document.services if service.pool == pool]
    return [
        *([(f"pool {pool}", found.budget)] if found else []),
        *((f"service {service.name}", service.budget) for service in services if service.budget),
    ]


def _find_exhausted_limit(
    *, owner: str, budget: Budget, others: list[Vm], vm: Vm, purpose: PermitPurpose
) -> str:
    in_rack = sum((other.zone, other.rack) == (vm.zone, vm.rack) for other in others)
    in_zone = sum(other.zone == vm.zone for other in others)
    if len(others) >= budget.max_down:
        names = ", ".join(sorted(other.name for other in others))
        return f"{owner} allows {budget.max_down} VMs down; already down: {names or 'none'}"
    if purpose is PermitPurpose.WITHDRAWAL:
        return ""
    if in_rack >= budget.max_down_per_rack:
        return f"{owner} allows {budget.max_down_per_rack} VMs down in rack {vm.rack}"
    if in_zone >= budget.max_down_per_zone:
        return f"{owner} allows {budget.max_down_per_zone} VMs down in zone {vm.zone}"
    return ""


def _find_broken_limit(state: ControlState, *, owner: str, budget: Budget, failed: list[Vm]) -> str:
    if len(failed) > budget.max_down:
        return f"{owner} allows {budget.max_down} VMs down, {len(failed)} failed"
    # VMs of a withdrawn zone count only towards `max_down`, not towards the limits of one rack or zone.
    zones = state.tables.zones
    counted = [vm for vm in failed if zones[vm.zone].status is not ZoneStatus.WITHDRAWN]
    for rack, count in Counter((vm.zone, vm.rack) for vm in counted).items():
        if count > budget.max_down_per_rack:
            return f"{owner} allows {budget.max_down_per_rack} VMs down in rack {rack[1]}, {count} failed"
    for zone, count in Counter(vm.zone for vm in counted).items():
        if count > budget.max_down_per_zone:
            return f"{owner} allows {budget.max_down_per_zone} VMs down in zone {zone}, {count} failed"
    return ""


def _is_down(vm: Vm) -> bool:
    return vm.state is not VmState.READY


__all__ = ["find_broken_budget", "find_exhausted_budget", "list_budgets"]
