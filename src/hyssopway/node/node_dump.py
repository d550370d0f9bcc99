"""Diagnostic dump of the state of a control node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hyssopway.agreement import dump_member

if TYPE_CHECKING:
    from hyssopway.dispatch import LeaderController
    from hyssopway.workflow import Tables

    from .control_node import ControlNode


def dump_control_node(node: ControlNode) -> dict[str, Any]:
    """Returns the whole state of a control node, without the keys of teams."""
    return {
        "gauges": node.read_gauges(),
        "agreement": dump_member(node.member),
        "agreed_state": _dump_tables(node.state.tables),
        "leader": _dump_leader(node.controller) if node.controller is not None else None,
    }


def _dump_tables(tables: Tables) -> dict[str, Any]:
    document = tables.document
    return {
        "version": tables.version,
        "document": {"version": document.version, "queues": document.queues, "pools": document.pools}
        if document is not None
        else None,
        "workflows": tables.workflows,
        "vms": tables.vms,
        "runs": tables.runs,
        "evacuated": sorted(tables.evacuated),
        "waves": tables.waves,
        "machine_orders": tables.machine_orders,
    }


def _dump_leader(controller: LeaderController) -> dict[str, Any]:
    now = controller.leadership.clock()
    return {
        "term": controller.leadership.term,
        "waiting_millis": controller.dispatcher.waiting_millis,
        "closed_vms": sorted(controller.dispatcher.cordoned_vms),
        "due_vms": sorted(controller.dispatcher.awaiting_maintenance),
        "machines": controller.rebalancer.machines.machines,
        "interference": controller.interference.dump(),
        "links": {
            vm_id: {
                "in_contact": link.in_contact(now),
                "answer_age_s": now - link.answered_at,
                "lease_left_s": link.lease.expires_at - now,
                "listed": sorted(link.listed_runs),
                "orders": sorted(link.orders.order_states),
                "pause_left_s": max(0.0, link.orders.paused_until - now),
                "withheld_left_s": max(0.0, link.acknowledgement.withheld_until - now),
                "failures": link.failures,
                "rating": controller.ratings.rating(vm_id),
                "evidence": controller.ratings.vms.get(vm_id),
            }
            for vm_id, link in controller.links.items()
        },
    }


__all__ = ["dump_control_node"]
