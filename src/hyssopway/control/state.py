"""The deterministic state machine that applies the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result
from pydantic import TypeAdapter

from hyssopway.document import parse_document
from hyssopway.result import Outcome

from .apply import apply_command
from .codec import decode_envelope, fingerprint
from .command import OperatorCommand
from .indexes import Indexes
from .record import StoredOutcome
from .request_ids import refuse_reused_request_id
from .tables import Tables

if TYPE_CHECKING:
    from hyssopway.document import EnvironmentDocument

    from .command import Command

PRODUCTION = "production"
TRIAL = "trial"

# A retry hours later must find the first outcome. 22,000 changes a day are 917 an hour, so this keeps about 11 h.
MAX_STORED_OUTCOMES = 10_000

_TABLES_ADAPTER = TypeAdapter(Tables)


class ControlState:
    """Replicated state of one region.

    Every daemon applies the same commands in the same order and must reach the same state. Nothing here may
    depend on local time, randomness or the iteration order of sets.

    Attributes:
        tables: Records, as stored in snapshots.
        indexes: Indexes derived from the records.
    """

    __slots__ = ("indexes", "tables")

    def __init__(self) -> None:
        self.tables = Tables()
        self.indexes = Indexes()

    @property
    def applied_index(self) -> int:
        """Log index of the last applied entry."""
        return self.tables.applied_index

    def document(self, *, environment: str = PRODUCTION) -> EnvironmentDocument | None:
        """Returns the active document of an environment; None before the first."""
        return self.indexes.parsed.get(environment)

    def generation(self, *, environment: str = PRODUCTION) -> int:
        """Returns the active generation of an environment; 0 before the first."""
        stored = self.tables.documents.get(environment)
        return stored.generation if stored else 0

    def apply(self, *, index: int, data: bytes) -> Outcome:
        """Applies one committed log entry.

        Args:
            index: Log index of the entry.
            data: Encoded envelope; empty for entries of the log itself that hold no command.

        Returns:
            Outcome of the command.

        Raises:
            ValueError: The entry is already applied, or this release cannot decode it.
        """
        if index <= self.tables.applied_index:
            raise ValueError(f"entry {index} is already applied")
        self.tables.applied_index = index
        if not data:
            return Outcome(index=index)
        envelope = decode_envelope(data)
        self.tables.now_ms = max(self.tables.now_ms, envelope.at_ms)
        self.tables.wall_ms = envelope.wall_ms
        command = envelope.command
        if isinstance(command, OperatorCommand):
            return self._apply_operator_command(index=index, command=command)
        return self._apply_once(index=index, command=command)

    def encode_snapshot(self) -> bytes:
        """Encodes all records as a snapshot."""
        return _TABLES_ADAPTER.dump_json(self.tables)

    def restore_snapshot(self, data: bytes) -> None:
        """Replaces all records by those of a snapshot and rebuilds the indexes.

        Raises:
            ValueError: The snapshot, or an active document in it, cannot be parsed.
        """
        self.tables = _TABLES_ADAPTER.validate_json(data)
        self.indexes = Indexes()
        self.indexes.rebuild_jobs(self.tables)
        self.indexes.shapes.rebuild(self.tables.vms.values())
        for environment, stored in self.tables.documents.items():
            match parse_document(text=stored.text, file=environment):
                case Result(tag="ok", ok=document):
                    self.indexes.parsed[environment] = document
                case _:
                    raise ValueError(f"active document of environment {environment} cannot be parsed")

    def _apply_operator_command(self, *, index: int, command: OperatorCommand) -> Outcome:
        command_hash = fingerprint(command)
        stored = self.tables.outcomes.get(command.request_id)
        if stored is not None:
            return (
                stored.outcome
                if stored.fingerprint == command_hash
                else refuse_reused_request_id(command.request_id)
            )
        outcome = self._apply_once(index=index, command=command)
        self.tables.outcomes[command.request_id] = StoredOutcome(fingerprint=command_hash, outcome=outcome)
        while len(self.tables.outcomes) > MAX_STORED_OUTCOMES:
            del self.tables.outcomes[next(iter(self.tables.outcomes))]
        return outcome

    def _apply_once(self, *, index: int, command: Command) -> Outcome:
        match apply_command(state=self, command=command):
            case Result(tag="ok", ok=change):
                self.indexes.update_after(command, tables=self.tables)
                return Outcome(index=index, generation=change.generation, reference=change.reference)
            case Result(error=failure):
                return Outcome(index=index, failure=failure)


__all__ = ["PRODUCTION", "TRIAL", "ControlState"]
