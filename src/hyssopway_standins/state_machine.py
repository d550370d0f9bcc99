"""Replicated state without a log or peers, for tests and measurements of decisions."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import yaml

from hyssopway.control import ControlState, Envelope, encode_envelope
from hyssopway.control.command import PromoteDocument, RegisterVm, TrialDocument
from hyssopway.document import Resources, digest_document

from .fleet import EXAMPLES, load_example_document, load_sizes, place_vms

if TYPE_CHECKING:
    from hyssopway.control import Outcome
    from hyssopway.control.command import Command
    from hyssopway.control.record import Vm


@dataclass(slots=True, kw_only=True)
class StateMachineStandIn:
    """Applies commands immediately, at a time that the caller sets.

    Attributes:
        state: The replicated state.
        now_ms: Time of the next command.
        data: The active document as plain data.
    """

    state: ControlState = field(default_factory=ControlState)
    now_ms: int = 0
    data: dict[str, Any] = field(default_factory=dict)

    @staticmethod
    def prepare(*, data: dict[str, Any]) -> StateMachineStandIn:
        """Creates a state in which a document is active."""
        state_machine = StateMachineStandIn()
        state_machine.change_document(data)
        return state_machine

    @staticmethod
    def prepare_example(deployment: str) -> StateMachineStandIn:
        """Creates a state with the active document and the VMs of an example deployment."""
        text = (EXAMPLES / deployment / "document.yaml").read_text()
        state_machine = StateMachineStandIn.prepare(data=yaml.safe_load(text))
        sizes = load_sizes(deployment)
        for location in place_vms(document=load_example_document(deployment), sizes=sizes):
            state_machine.register(location.name, zone=location.zone, rack=location.rack, pool=location.pool)
        return state_machine

    def apply(self, command: Command) -> Outcome:
        """Applies one command."""
        data = encode_envelope(Envelope(at_ms=self.now_ms, wall_ms=self.now_ms, command=command))
        return self.state.apply(index=self.state.applied_index + 1, data=data)

    def change_document(self, data: dict[str, Any]) -> None:
        """Runs a document in trial and promotes it to production.

        Raises:
            ValueError: The document was rejected.
        """
        text = yaml.safe_dump(data)
        index = self.state.applied_index
        generations = [self.state.generation(environment=name) for name in ("trial", "production")]
        trial = TrialDocument(
            text=text, expected_generation=generations[0], request_id=f"t{index}", operator="operator"
        )
        promote = PromoteDocument(
            digest=digest_document(text=text),
            expected_generation=generations[1],
            request_id=f"p{index}",
            operator="operator",
        )
        for command in (trial, promote):
            failure = self.apply(command).failure
            if failure is not None:
                raise ValueError(failure.message)
        self.data = copy.deepcopy(data)

    def register(self, vm: str, *, zone: str, rack: str, pool: str, boot_id: str = "boot-1") -> None:
        """Registers a VM, or its worker after a restart when `boot_id` is new."""
        self.apply(
            RegisterVm(
                vm=vm,
                zone=zone,
                rack=rack,
                pool=pool,
                capacity=Resources(cores=64, memory_gb=128),
                home="entry",
                boot_id=boot_id,
            )
        )

    def vm(self, name: str) -> Vm:
        """Returns a VM."""
        return self.state.tables.vms[name]


__all__ = ["StateMachineStandIn"]
