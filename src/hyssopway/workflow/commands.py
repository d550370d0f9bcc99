"""Commands that change the replicated state of workflows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from .capacity import Capacity
from .fleet_document import FleetDocument
from .queue_id import UNKNOWN_QUEUE_ID, QueueId
from .run_end import RunEnd
from .workflow_spec import WorkflowSpec


@dataclass(frozen=True, slots=True, kw_only=True)
class PutDocument:
    """Stores a configuration; does nothing unless its version is higher than that of the active one."""

    document: FleetDocument
    kind: Literal["document"] = "document"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetZoneEvacuated:
    """Marks a zone as evacuated, or puts it back into service."""

    zone: str
    evacuated: bool
    kind: Literal["zone"] = "zone"


@dataclass(frozen=True, slots=True, kw_only=True)
class AcceptWorkflow:
    """Accepts a workflow; does nothing if its ID is known.

    Attributes:
        queue: Name of its queue, for members of a state before `QUEUE_IDS_VERSION`.
        team: ID of the team that submits it.
        queue_id: ID of its queue; empty in entries of earlier releases.
    """

    workflow_id: str
    queue: str
    team: str
    spec: WorkflowSpec
    at_ms: int
    queue_id: QueueId = UNKNOWN_QUEUE_ID
    kind: Literal["accept"] = "accept"


@dataclass(frozen=True, slots=True, kw_only=True)
class AddOccurrence:
    """Adds the tasks of an occurrence of a scheduled workflow that is due."""

    workflow_id: str
    occurrence: int
    kind: Literal["occurrence"] = "occurrence"


@dataclass(frozen=True, slots=True, kw_only=True)
class CancelWorkflow:
    """Cancels a workflow; does nothing if it has ended."""

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
    """Commits the start of runs before the VMs are told; starts that are no longer allowed are skipped."""

    fencing_token: int
    starts: tuple[RunStart, ...]
    at_ms: int = 0
    kind: Literal["start"] = "start"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndRuns:
    """Commits the ends of runs on one boot of a VM.

    Attributes:
        last_end: Number of the last end that the VM reported; 0 if the leader inferred the ends.
        boot_ended: Whether this boot of the VM has ended without having announced it, and its runs were lost with it.
        lost_at_work: Keys of the runs in `ends` that the VM may have worked on when its boot ended, or when it was last
            heard of.
        just_started: Those of them that the VM had started after it last answered.
        is_reported: Whether the VM was heard of, so that it has not crashed.
        completes_gangs: Whether the end of one member as done completes its whole gang. Logs of earlier releases have
            commands that complete the reported member only.
        unconfirmed: Those of `lost_at_work` of which it is not known whether their start had reached the VM.
        holds_back: Whether a long-running task that ended its VMs is held back and its workflow goes on. False in entries
            of releases that fail the workflow, so that each member applies them alike.
    """

    vm: str
    boot: int
    ends: tuple[RunEnd, ...]
    at_ms: int
    last_end: int = 0
    boot_ended: bool = False
    lost_at_work: tuple[str, ...] = ()
    just_started: tuple[str, ...] = ()
    is_reported: bool = False
    completes_gangs: bool = False
    unconfirmed: tuple[str, ...] = ()
    holds_back: bool = False
    kind: Literal["end"] = "end"


@dataclass(frozen=True, slots=True, kw_only=True)
class RegisterVm:
    """Stores what a VM announced about itself; runs of the boot that it replaces are lost, except those in doubt.

    Attributes:
        sequence: Number of the announcement within the boot; 0 if the VM has not announced itself.
        replaced_boot: Number of the boot that has certainly ended, also if it is the higher one; 0 if none has.
        kept_runs: Keys of the runs of that boot whose start may have reached this one.
    """

    vm: str
    boot: int
    address: str
    pool: str
    zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    draining: bool
    at_ms: int
    sequence: int = 0
    replaced_boot: int = 0
    kept_runs: tuple[str, ...] = ()
    kind: Literal["vm"] = "vm"


@dataclass(frozen=True, slots=True, kw_only=True)
class RemoveVm:
    """Deletes a VM that no longer exists; its runs are lost."""

    vm: str
    boot: int
    at_ms: int
    kind: Literal["vm_gone"] = "vm_gone"


@dataclass(frozen=True, slots=True, kw_only=True)
class StartWave:
    """Starts a maintenance wave; does nothing if its number is known."""

    number: int
    machines: tuple[str, ...]
    deadline_ms: int
    max_down: int
    kind: Literal["wave"] = "wave"


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginMaintenance:
    """Commits that the maintenance of a machine is about to be requested from the platform."""

    wave: int
    machine: str
    at_ms: int
    kind: Literal["maintenance"] = "maintenance"


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmMaintenance:
    """Records that the maintenance of a machine has begun, or that the machine is gone."""

    wave: int
    machine: str
    kind: Literal["maintenance_confirmed"] = "maintenance_confirmed"


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordMachineOrders:
    """Commits that the platform is about to be asked to move machines.

    A new leader waits for some time before it asks again about one of these machines.
    """

    machines: tuple[str, ...]
    at_ms: int
    kind: Literal["machine_orders"] = "machine_orders"


@dataclass(frozen=True, slots=True, kw_only=True)
class DeleteWorkflows:
    """Deletes workflows that ended long ago; one that has not ended or still has a run is kept."""

    workflow_ids: tuple[str, ...]
    kind: Literal["forget"] = "forget"


@dataclass(frozen=True, slots=True, kw_only=True)
class SetStateVersion:
    """Raises the version of the state, which selects the rules by which later commands are applied; it never falls."""

    version: int
    kind: Literal["state_version"] = "state_version"


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
    | SetStateVersion
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
    "SetStateVersion",
    "SetZoneEvacuated",
    "StartRuns",
    "StartWave",
]
