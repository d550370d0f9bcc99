"""Stateful property tests of the store and the slot file against models in memory."""

from __future__ import annotations

import tempfile
from pathlib import Path

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hyssopway.agreement import Configuration, Store
from hyssopway.agreement.entry import Entry, EntryKind
from hyssopway.agreement.slot_file import SlotFile
from hyssopway.agreement.snapshot import Snapshot

ENTRIES = st.lists(
    st.builds(
        Entry,
        term=st.just(1),
        kind=st.sampled_from([EntryKind.COMMAND, EntryKind.NO_OPERATION]),
        data=st.binary(max_size=40),
    ),
    min_size=1,
    max_size=5,
)


class StoreMachine(RuleBasedStateMachine):
    """Guards against entries, votes and snapshots that are wrong after a restart."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.first, self.model, self.vote = 1, [], (0, "")
        self.store = self.open_store()

    def open_store(self) -> Store:
        """Opens the store of the folder."""
        store = Store(folder=Path(self.folder.name))
        store.open(daemon="a", initial=Configuration(voters=("a/0",)))
        return store

    @rule(entries=ENTRIES, back=st.integers(0, 4))
    def write(self, entries: list[Entry], back: int) -> None:
        """Appends entries or replaces the last ones."""
        keep = max(0, len(self.model) - back)
        self.model = self.model[:keep] + entries
        del self.store.entries[keep:]
        self.store.entries += entries
        self.store.write_entries(index=self.first + keep, entries=entries)

    @rule(share=st.floats(0, 1))
    def compact(self, share: float) -> None:
        """Replaces the first entries with a snapshot."""
        count = int(share * len(self.model))
        if count:
            snapshot = Snapshot(index=self.first + count - 1, term=1, data=b"state %d" % count)
            self.store.write_snapshot(snapshot)
            self.store.adopt_snapshot(snapshot)
            self.first, self.model = self.first + count, self.model[count:]

    @rule(term=st.integers(1, 99), candidate=st.sampled_from(["a/0", "b/0"]))
    def cast_vote(self, term: int, candidate: str) -> None:
        """Writes a vote."""
        self.store.write_vote(term=term, voted_for=candidate)
        self.vote = (term, candidate)

    @rule(torn=st.binary(max_size=30))
    def restart(self, torn: bytes) -> None:
        """Appends a torn record to the log and opens the store again."""
        self.store.close()
        with self.store.log_file.path.open("ab") as log:
            log.write(torn)
        self.store = self.open_store()

    @invariant()
    def matches(self) -> None:
        """Compares the store with the model."""
        assert self.store.entries == self.model
        assert self.store.snapshot.index == self.first - 1
        assert (self.store.vote.term, self.store.vote.voted_for) == self.vote
        assert self.store.synced_index == self.store.last_index

    def teardown(self) -> None:
        """Removes the folder."""
        self.store.close()
        self.folder.cleanup()


class SlotMachine(RuleBasedStateMachine):
    """Guards against a value that is lost by a restart or by a torn write of the next value."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "slots"
        self.value: bytes | None = None
        self.slots = SlotFile(path=self.path)
        self.slots.open()

    @rule(data=st.binary(max_size=200))
    def write(self, data: bytes) -> None:
        """Writes a value."""
        self.slots.write(data)
        self.value = data

    @rule(data=st.binary(min_size=1, max_size=200))
    def crash_in_next_write(self, data: bytes) -> None:
        """Simulates a write that is torn after its first changed byte."""
        if self.value is None:
            return
        before = self.path.read_bytes()
        self.slots.write(data)
        after = self.path.read_bytes()
        torn = next(number for number in range(len(after)) if before[number] != after[number]) + 1
        self.path.write_bytes(after[:torn] + before[torn:])
        self.restart()

    @rule()
    def restart(self) -> None:
        """Opens the file again."""
        self.slots.close()
        self.slots = SlotFile(path=self.path)
        assert self.slots.open() == self.value

    def teardown(self) -> None:
        """Removes the folder."""
        self.slots.close()
        self.folder.cleanup()


SETTINGS = settings(derandomize=True, max_examples=40, stateful_step_count=20, deadline=None, database=None)
TestStore = StoreMachine.TestCase
TestStore.settings = SETTINGS
TestSlots = SlotMachine.TestCase
TestSlots.settings = SETTINGS
