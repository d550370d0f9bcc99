"""Crowds of clients that do not behave: the process lives, stays within its limits and still serves others."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import pytest

from .crowd import Crowd, CrowdKind
from .kinds import CONNECTIONS, KINDS, LARGE_RESPONSES, MESSAGES
from .process_watch import ProcessWatch
from .system import DESCRIPTORS, MEMORY_MB, METRICS_PORT, RESERVED_DESCRIPTORS, send_until_served

if TYPE_CHECKING:
    from collections.abc import Callable

    from soak.nodes import Node

pytestmark = pytest.mark.crowds


def check_crowd(
    *,
    kind: CrowdKind,
    node: Node,
    address: str,
    request: Callable[[], int],
    descriptors: int = DESCRIPTORS,
) -> None:
    host, _, port = address.rpartition(":")
    with (
        ProcessWatch(pid=node.process.pid, host=node.host) as watch,
        Crowd(kind=kind, address=(host, int(port))) as crowd,
    ):
        crowd.run()
        status = send_until_served(request)
    sys.stdout.write(f"{watch.describe()}, status {status}\n")
    assert node.process.poll() is None, "the process has ended"
    assert status == 200, f"status {status}; {watch.describe()}"
    assert watch.most_held_bytes <= MEMORY_MB[node.role] * 1_000_000, watch.describe()
    assert watch.most_descriptors <= descriptors - RESERVED_DESCRIPTORS, watch.describe()


@pytest.mark.parametrize("name", KINDS)
def test_crowd_on_the_callers_port_ends_no_entry(system, name):
    """Guards against an entry that runs out of memory, or answers nobody, because of such clients."""
    check_crowd(kind=KINDS[name], node=system.entry, address=system.entry.http, request=system.post_job)


@pytest.mark.parametrize("name", KINDS)
def test_crowd_on_the_control_port_ends_no_control_node(system, name):
    """Guards against a control node that runs out of memory, or answers nobody, because of such clients."""
    check_crowd(
        kind=KINDS[name],
        node=system.control,
        address=system.control.http,
        request=system.put_manifest,
    )


def test_responses_that_nobody_reads_end_no_control_node(system):
    """Guards against a control node that holds its whole configuration once for each request of such clients."""
    check_crowd(
        kind=LARGE_RESPONSES,
        node=system.control,
        address=system.control.http,
        request=system.put_manifest,
    )


@pytest.mark.parametrize("name", ["heads of many fields", "empty lines", "whole bodies"])
@pytest.mark.parametrize("port", ["readiness", "metrics"])
def test_crowd_on_a_probe_port_ends_no_entry(system, name, port):
    """Guards against an entry that runs out of memory by its ports for probes and metrics."""
    settings = (system.entry.folder / "settings.toml").read_text()
    address = f"{system.entry.host}:{METRICS_PORT}"
    request = system.get_metrics
    if port == "readiness":
        line = next(line for line in settings.splitlines() if line.startswith("readiness"))
        address, request = line.split('"')[1], system.get_readiness
    check_crowd(kind=KINDS[name], node=system.entry, address=address, request=request)


@pytest.mark.parametrize("name", ["heads of many fields", "whole bodies", "messages"])
def test_crowd_on_the_port_between_nodes_ends_no_control_node(system, name):
    """Guards against a control node that runs out of memory by its port for other nodes."""
    check_crowd(
        kind=MESSAGES if name == "messages" else KINDS[name],
        node=system.control,
        address=f"{system.control.host}:{system.peer_port}",
        request=system.post_job,
    )


def test_connections_beyond_the_descriptors_end_no_entry(system_with_few_descriptors):
    """Guards against connections that take the descriptors which files need."""
    system = system_with_few_descriptors
    check_crowd(
        kind=CONNECTIONS,
        node=system.entry,
        address=system.entry.http,
        request=system.get_readiness,
        descriptors=400,
    )


def test_connections_beyond_the_descriptors_end_no_control_node(system_with_few_descriptors):
    """Guards against connections that take the descriptors which files need."""
    system = system_with_few_descriptors
    check_crowd(
        kind=CONNECTIONS,
        node=system.control,
        address=system.control.http,
        request=system.post_job,
        descriptors=400,
    )
