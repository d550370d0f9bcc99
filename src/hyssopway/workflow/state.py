"""The replicated state machine of workflows."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from hyssopway.clock import monotonic_s, wall_ms
from hyssopway.event import Event, log_event
from hyssopway.lazy_adapter import LazyAdapter
from hyssopway.result import Outcome, UnsupportedVersionError

from . import apply_document, apply_fleet, apply_workflows
from .commands import (
    AcceptWorkflow,
    AddOccurrence,
    BeginMaintenance,
    CancelWorkflow,
    Command,
    ConfirmMaintenance,
    DeleteWorkflows,
    EndRuns,
    PutDocument,
    RecordMachineOrders,
    RegisterVm,
    RemoveVm,
    SetStateVersion,
    SetZoneEvacuated,
    StartRuns,
    StartWave,
)
from .indexes import Indexes
from .observed_times import ObservedTimes
from .state_version import CURRENT_VERSION, QUEUE_IDS_VERSION
from .tables import Tables

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .start_rules import SkippedStart

_COMMAND_ADAPTER: LazyAdapter[Command] = LazyAdapter(Command, discriminator="kind")
_TABLES_ADAPTER: LazyAdapter[Tables] = LazyAdapter(Tables)


def build_codecs() -> None:
    """Builds the codecs of commands and snapshots, which the first use otherwise waits for."""
    _COMMAND_ADAPTER.get()
    _TABLES_ADAPTER.get()


def encode_command(command: Command) -> bytes:
    """Encodes a command as an entry of the replicated log."""
    return _COMMAND_ADAPTER.get().dump_json(command, exclude_defaults=False)


class WorkflowState:
    """Applies the commands of the replicated log; deterministic, so that all members reach the same state.

    Attributes:
        tables: Replicated data.
        indexes: Indexes derived from the tables.
        supported_version: Highest version of the state that it can apply; lower than that of this release only in tests.
        observed: Local times at which starts and changes of boots were applied; not replicated.
        applied_index: Log index of the last entry applied.
        on_change: Called after an entry is applied or a snapshot restored, but not for an entry that was skipped
            as unknown.
        on_starts_skipped: Called with the starts of a command that were skipped as it was applied.
    """

    __slots__ = (
        "applied_index",
        "indexes",
        "observed",
        "on_change",
        "on_starts_skipped",
        "supported_version",
        "tables",
    )

    def __init__(
        self, *, supported_version: int = CURRENT_VERSION, clock: Callable[[], float] = monotonic_s
    ) -> None:
        self.observed = ObservedTimes(clock=clock, wall_ms=wall_ms)
        self.supported_version = supported_version
        self.tables = Tables()
        self.indexes = Indexes(self.tables)
        self.applied_index = 0
        self.on_change: Callable[[], None] | None = None
        self.on_starts_skipped: Callable[[Sequence[SkippedStart]], None] | None = None

    def apply(self, *, index: int, data: bytes) -> Outcome:
        """Applies one committed log entry; an empty entry changes nothing.

        Raises:
            UnsupportedVersionError: The entry raises the state to a version that this release does not support.
        """
        if data:
            try:
                command = _COMMAND_ADAPTER.get().validate_json(data)
            except ValueError as error:
                # A newer release wrote the entry; every member of this release skips it.
                log_event(Event.COMMAND_UNKNOWN, index=index, error=str(error).splitlines()[0])
                self.applied_index = index
                return Outcome(index=index)
            if isinstance(command, SetStateVersion):
                self._require_support(command.version)
                if command.version > self.tables.version:
                    log_event(Event.STATE_VERSION_RAISED, index=index, version=command.version)
            self._apply_or_skip(command, index=index)
        self.applied_index = index
        if self.on_change is not None:
            self.on_change()
        return Outcome(index=index)

    def encode_snapshot(self) -> bytes:
        """Encodes the tables as a snapshot."""
        return _TABLES_ADAPTER.get().dump_json(self.tables)

    def restore_snapshot(self, data: bytes) -> None:
        """Replaces the tables by those of a snapshot and rebuilds the indexes.

        Raises:
            UnsupportedVersionError: The snapshot has a version that this release does not support.
        """
        try:
            tables = _TABLES_ADAPTER.get().validate_json(data)
        except ValueError:
            # Tables of a later version may have another form; their version has not.
            self._require_support(_read_version(data))
            raise
        self._require_support(tables.version)
        self.tables = tables
        self.indexes = Indexes(self.tables)
        self.observed.restore(self.tables)
        if self.on_change is not None:
            self.on_change()

    def _require_support(self, version: int) -> None:
        if version > self.supported_version:
            raise UnsupportedVersionError(
                f"the state has version {version}, this release supports up to {self.supported_version}"
            )

    def _apply_or_skip(self, command: Command, *, index: int) -> None:
        try:
            self._apply_command(command)
        except Exception as error:
            # The failure is the same on every member. Without this handler, one entry that cannot be applied would
            # block all later entries, also after a restart.
            log_event(Event.COMMAND_FAILED, index=index, kind=command.kind, error=repr(error))

    def _apply_command(self, command: Command) -> None:
        tables, indexes = self.tables, self.indexes
        match command:
            case StartRuns():
                skipped = apply_workflows.start_runs(tables, indexes, command)
                self._observe_starts(command)
                if skipped and self.on_starts_skipped is not None:
                    self.on_starts_skipped(skipped)
            case EndRuns():
                apply_workflows.end_runs(tables, indexes, command)
                self.observed.record_ends([f"{end.task}/{end.run}" for end in command.ends])
            case AcceptWorkflow():
                apply_workflows.accept_workflow(tables, indexes, command)
            case AddOccurrence():
                apply_workflows.add_occurrence(tables, command)
            case CancelWorkflow():
                apply_workflows.cancel_workflow(tables, indexes, command)
            case DeleteWorkflows():
                apply_workflows.delete_workflows(tables, command)
            case RegisterVm() | RemoveVm():
                self._change_vm(command)
            case PutDocument():
                apply_document.put_document(tables, indexes, command)
            case SetZoneEvacuated():
                apply_fleet.set_zone_evacuated(tables, command)
            case StartWave():
                apply_fleet.start_wave(tables, command)
            case BeginMaintenance():
                apply_fleet.begin_maintenance(tables, command)
            case ConfirmMaintenance():
                apply_fleet.confirm_maintenance(tables, command)
            case RecordMachineOrders():
                apply_fleet.record_machine_orders(tables, command)
            case SetStateVersion():
                self._raise_version(command.version)

    def _raise_version(self, version: int) -> None:
        earlier = self.tables.version
        self.tables.version = max(earlier, version)
        if earlier < QUEUE_IDS_VERSION <= self.tables.version:
            apply_document.change_to_ids(self.tables, self.indexes)

    def _observe_starts(self, command: StartRuns) -> None:
        for start in command.starts:
            key = f"{start.task}/{start.run}"
            if any(run.key == key for run in self.tables.runs.get(start.task, ())):
                self.observed.record_start(key, at_ms=command.at_ms)

    def _change_vm(self, command: RegisterVm | RemoveVm) -> None:
        old = self.tables.vms.get(command.vm)
        old_runs = set(old.runs) if old is not None else set()
        if isinstance(command, RegisterVm):
            apply_fleet.register_vm(self.tables, self.indexes, command)
        else:
            apply_fleet.remove_vm(self.tables, self.indexes, command)
        new = self.tables.vms.get(command.vm)
        self.observed.record_ends(old_runs - (new.runs if new is not None else set()))
        if old is not None and (new is None or new.boot != old.boot):
            self.observed.record_boot_change(command.vm, at_ms=command.at_ms)


def _read_version(snapshot: bytes) -> int:
    fields = json.loads(snapshot)
    version = fields.get("version", 0) if isinstance(fields, dict) else 0
    return version if isinstance(version, int) else 0


__all__ = ["WorkflowState", "build_codecs", "encode_command"]
