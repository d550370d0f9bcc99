"""Topics on which daemons exchange in-memory state, and their handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hyssopway.fleet import ENTRY_STOPPED_TOPIC, VM_REQUESTS_TOPIC
from hyssopway.routing import GRANTS_TOPIC, SUMMARY_TOPIC

from .load_reports import LOAD_TOPIC, record_load_report
from .membership_manager import CHANGE_TOPIC, LIST_TOPIC, STATUS_TOPIC
from .status import own_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from .daemon import Daemon


def build_exchange_handlers(daemon: Daemon) -> dict[str, Callable[[Any], Any]]:
    """Returns the handler of each topic."""
    return {
        LOAD_TOPIC: lambda loads: record_load_report(daemon, loads),
        SUMMARY_TOPIC: daemon.requests.homes.handle_exchange,
        STATUS_TOPIC: lambda _: own_status(daemon),
        LIST_TOPIC: daemon.group.membership.handle_list,
        CHANGE_TOPIC: daemon.group.membership.handle_change,
        GRANTS_TOPIC: daemon.requests.collector.report_grants,
        VM_REQUESTS_TOPIC: daemon.fleet.vm_requests.build_report,
        ENTRY_STOPPED_TOPIC: daemon.fleet.vm_requests.record_stop,
    }


__all__ = ["build_exchange_handlers"]
