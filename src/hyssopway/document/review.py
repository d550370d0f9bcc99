"""Findings about a valid document: items that can never match and limits that contradict each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .problem import Problem

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Set as AbstractSet

    from .budget import Budget
    from .environment_document import EnvironmentDocument
    from .team import Team

MAINTENANCE_ALLOWED = "at least 1, or no VM of the pool can ever be maintained"


def find_contradictions(*, document: EnvironmentDocument, file: str) -> list[Problem]:
    """Finds limits that forbid everything that they limit."""
    found = [
        *_find_forbidden_maintenance(document),
        *_find_unusable_limits(document),
        *_find_conflicting_timeouts(document),
    ]
    return [Problem(file=file, path=path, found=value, allowed=allowed) for path, value, allowed in found]


def find_unmatched_items(
    *, document: EnvironmentDocument, file: str, vm_zones: AbstractSet[str], vm_pools: AbstractSet[str]
) -> list[Problem]:
    """Finds zones, and pools of services, that no VM of the fleet belongs to.

    The spare pool lends its VMs to services that may borrow, so their pools may be empty.

    Args:
        document: The document.
        file: Name of the file in the findings.
        vm_zones: Zones of all known VMs.
        vm_pools: Pools of all known VMs.
    """
    found = [
        Problem(file=file, path=f"zones.{position}", found=repr(zone), allowed=_one_of("zone", vm_zones))
        for position, zone in enumerate(document.zones)
        if zone not in vm_zones
    ]
    can_lend = any(pool.spare and pool.name in vm_pools for pool in document.pools)
    found += [
        Problem(
            file=file,
            path=f"services.{position}.pool",
            found=f"{service.pool!r}, which has no VM",
            allowed=_one_of("pool", vm_pools),
        )
        for position, service in enumerate(document.services)
        if service.pool not in vm_pools and not (service.may_borrow and can_lend)
    ]
    return found


def _find_forbidden_maintenance(document: EnvironmentDocument) -> Iterator[tuple[str, str, str]]:
    budgets: list[tuple[str, Budget | None]] = [
        *((f"pools.{position}.budget", pool.budget) for position, pool in enumerate(document.pools)),
        *((f"services.{position}.budget", one.budget) for position, one in enumerate(document.services)),
    ]
    for path, budget in budgets:
        if budget is None:
            continue
        limits = {
            "max_down": budget.max_down,
            "max_down_per_rack": budget.max_down_per_rack,
            "max_down_per_zone": budget.max_down_per_zone,
        }
        yield from (
            (f"{path}.{name}", "0", MAINTENANCE_ALLOWED) for name, limit in limits.items() if not limit
        )


def _find_unusable_limits(document: EnvironmentDocument) -> Iterator[tuple[str, str, str]]:
    for position, team in enumerate(document.teams):
        for name, tasks in _limits_below_one_task(team):
            yield f"teams.{position}.{name}", "0", f"more than 0, or {tasks} of the team can ever run"


def _limits_below_one_task(team: Team) -> Iterator[tuple[str, str]]:
    if not team.max_running:
        yield "max_running", "no task"
    if not team.limit.cores:
        yield "limit.cores", "no task with cores"
    if not team.limit.memory_gb:
        yield "limit.memory_gb", "no task with memory"


def _find_conflicting_timeouts(document: EnvironmentDocument) -> Iterator[tuple[str, str, str]]:
    for position, service in enumerate(document.services):
        if service.timeout_s > service.longest_timeout_s:
            allowed = f"at most longest_timeout_s ({service.longest_timeout_s:g})"
            yield f"services.{position}.timeout_s", f"{service.timeout_s:g}", allowed


def _one_of(kind: str, names: AbstractSet[str]) -> str:
    return f"a {kind} of the fleet's VMs: {', '.join(sorted(names)) or 'none is known'}"


__all__ = ["find_contradictions", "find_unmatched_items"]
