"""Measures the memory of the replicated state."""

from __future__ import annotations

import statistics
import tracemalloc
from typing import TYPE_CHECKING

from hyssopway.control import ControlState, Envelope, encode_envelope
from hyssopway.control.command import GrantKey, PromoteDocument, RegisterVm, TrialDocument
from hyssopway.document import Resources
from hyssopway_standins.fleet import EXAMPLES

from .measurement import Measurement, Series

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.control.command import Command


def measure_memory(measurement: Measurement, *, quick: bool) -> None:
    """Adds the memory of a key and of a VM in the replicated state."""
    sizes = (300, 600, 1200) if quick else (1000, 3000, 9000)
    for name, make_command in (("key", grant_new_key), ("VM", register_vm)):
        points = [(float(count), _state_kb(make_command, count=count)) for count in sizes]
        x, y = zip(*points, strict=True)
        slope, intercept = statistics.linear_regression(x, y)
        worst = max(abs(slope * count + intercept - size) / size for count, size in points)
        measurement.figures[f"memory per {name} KB"] = slope
        measurement.figures[f"memory per {name}, worst fit error"] = worst
        measurement.series.append(
            Series(name=name, x_label="keys or VMs", y_label="memory of the state KB", points=points)
        )


def _state_kb(make_command: Callable[[int], Command], *, count: int) -> float:
    state = ControlState()
    text = (EXAMPLES / "pantry" / "document.yaml").read_text()
    trial = TrialDocument(text=text, expected_generation=0, request_id="trial", operator="operator")
    tried = state.apply(index=1, data=encode_envelope(Envelope(at_ms=1, wall_ms=1, command=trial)))
    promote = PromoteDocument(
        digest=tried.reference, expected_generation=0, request_id="promote", operator="operator"
    )
    state.apply(index=2, data=encode_envelope(Envelope(at_ms=2, wall_ms=2, command=promote)))
    tracemalloc.start()
    for number in range(3, count + 3):
        data = encode_envelope(Envelope(at_ms=number, wall_ms=number, command=make_command(number)))
        outcome = state.apply(index=number, data=data)
        if outcome.failure is not None:
            raise RuntimeError(f"change {number} was rejected: {outcome.failure.message}")
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size / 1000


def grant_new_key(number: int) -> Command:
    """Returns a command that grants the key with this number."""
    return GrantKey(
        key_id=f"k{number}",
        key_hash=f"{number:064x}",
        team="casco-bay",
        request_id=f"r{number}",
        operator="operator",
    )


def register_vm(number: int) -> Command:
    """Returns a command that registers the VM with this number."""
    return RegisterVm(
        vm=f"vm-{number}",
        zone="Nashua",
        rack=f"rack-{number // 4}",
        pool="restock",
        capacity=Resources(cores=64, memory_gb=128),
        home="nashua-1",
        boot_id=f"boot-{number}",
    )


__all__ = ["measure_memory"]
