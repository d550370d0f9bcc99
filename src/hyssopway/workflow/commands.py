"""Changes of the agreed state of workflows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .capacity import Capacity
from .fleet_document import FleetDocument
from .run_end import RunEnd
from .workflow_spec import WorkflowSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class PutDocument:
    """Stores a configuration; a version that is not higher changes nothing."""

    document: FleetDocument
    kind: Literal["document"] = "document"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetZoneEvacuated:
    """Takes a zone out of service or back."""

    zone: str
    evacuated: bool
    kind: Literal["zone"] = "zone"


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptWorkflow:
    """Accepts a workflow; a known identity changes nothing."""

    workflow_id: str
    queue: str
    team: str
    spec: WorkflowSpec
    at_ms: int
    kind: Literal["accept"] = "accept"


@dataclass(frozen=True, slots=True, kw_only=True)
class AddOccurrence:
    """Makes an occurrence of a scheduled workflow due."""

    workflow_id: str
    occurrence: int
    kind: Literal["occurrence"] = "occurrence"


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelWorkflow:
    """Cancels a workflow; one that has ended stays as it is."""

    workflow_id: str
    at_ms: int
    kind: Literal["cancel"] = "cancel"


@dataclass(frozen=True, slots=True, kw_only=True)
class RunStart:
    """A run to start."""

    task: str
    run: int
    vm: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StartRuns:
    """Agrees on starts before they are ordered; starts that are no longer allowed are left out."""

    fencing_token: int
    starts: tuple[RunStart, ...]
    kind: Literal["start"] = "start"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndRuns:
    """Agrees on ends of runs on one boot of a VM.

    Attributes:
        last_end: Number of the last end that the VM listed; 0 when the ends were concluded and not listed.
    """

    vm: str
    boot: int
    ends: tuple[RunEnd, ...]
    at_ms: int
    last_end: int = 0
    kind: Literal["end"] = "end"


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisterVm:
    """Takes in what a VM says of itself; runs of an earlier boot are lost."""

    vm: str
    boot: int
    address: str
    pool: str
    zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    draining: bool
    at_ms: int
    kind: Literal["vm"] = "vm"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveVm:
    """Forgets a VM that is gone for good; its runs are lost."""

    vm: str
    boot: int
    at_ms: int
    kind: Literal["vm_gone"] = "vm_gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class StartWave:
    """Starts a maintenance wave; a known number changes nothing."""

    number: int
    machines: tuple[str, ...]
    deadline_ms: int
    max_down: int
    kind: Literal["wave"] = "wave"


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginMaintenance:
    """Agrees that the maintenance of a machine is about to be ordered."""

    wave: int
    machine: str
    at_ms: int
    kind: Literal["maintenance"] = "maintenance"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmMaintenance:
    """Notes that the maintenance of a machine has begun, or that the machine is gone."""

    wave: int
    machine: str
    kind: Literal["maintenance_confirmed"] = "maintenance_confirmed"


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordMachineOrders:
    """Agrees that machines are about to be ordered to move, so that a successor leaves them alone for a while."""

    machines: tuple[str, ...]
    at_ms: int
    kind: Literal["machine_orders"] = "machine_orders"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteWorkflows:
    """Removes workflows that ended long ago; one that has not ended or still has a run stays."""

    workflow_ids: tuple[str, ...]
    kind: Literal["forget"] = "forget"


Command = (
    PutDocument
    | SetZoneEvacuated
    | AcceptWorkflow
    | AddOccurrence
    | CancelWorkflow
    | StartRuns
    | EndRuns
    | RegisterVm
    | RemoveVm
    | StartWave
    | BeginMaintenance
    | ConfirmMaintenance
    | RecordMachineOrders
    | DeleteWorkflows
)

__all__ = [
    "AcceptWorkflow",
    "AddOccurrence",
    "BeginMaintenance",
    "CancelWorkflow",
    "Command",
    "ConfirmMaintenance",
    "DeleteWorkflows",
    "EndRuns",
    "PutDocument",
    "RecordMachineOrders",
    "RegisterVm",
    "RemoveVm",
    "RunStart",
    "SetZoneEvacuated",
    "StartRuns",
    "StartWave",
]
