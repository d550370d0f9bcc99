"""Torn writes, damage and failed writes in the files of a member."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest

from hyssopway.agreement import Configuration, LogDamagedError, StorageError, Store
from hyssopway.agreement import log_file as log_file_module
from hyssopway.agreement import store as store_module
from hyssopway.agreement.atomic_file import write_atomically
from hyssopway.agreement.entry import Entry
from hyssopway.agreement.log_file import LogFile
from hyssopway.agreement.slot_file import SLOT_BYTES, SlotFile
from hyssopway.agreement.snapshot import Snapshot

if TYPE_CHECKING:
    from pathlib import Path

ENTRIES = [Entry(term=1, data=b"entry %d" % number) for number in range(6)]


def write_log(path: Path, entries: list[Entry]) -> bytes:
    log = LogFile(path=path)
    log.open(first_index=1)
    log.append(index=1, entries=entries)
    log.close()
    return path.read_bytes()


def read_log(path: Path) -> list[Entry]:
    log = LogFile(path=path)
    try:
        return log.open(first_index=1)
    finally:
        log.close()


def test_log_cut_at_every_byte_keeps_whole_records(tmp_path: Path):
    """Guards against a torn record that is read as an entry or prevents the start."""
    path = tmp_path / "log"
    raw = write_log(path, ENTRIES)
    for length in range(len(raw) + 1):
        path.write_bytes(raw[:length])
        found = read_log(path)
        assert found == ENTRIES[: len(found)]
        assert len(found) == length * len(ENTRIES) // len(raw)


def test_flipped_bit_at_every_byte_is_never_read(tmp_path: Path):
    """Guards against reading a damaged entry, and against silently dropping entries that precede intact ones."""
    path = tmp_path / "log"
    raw = write_log(path, ENTRIES)
    record = len(raw) // len(ENTRIES)
    for position in range(len(raw)):
        path.write_bytes(raw[:position] + bytes([raw[position] ^ 1 << position % 8]) + raw[position + 1 :])
        if position < len(raw) - record:
            with pytest.raises(LogDamagedError):
                read_log(path)
        else:
            assert read_log(path) == ENTRIES[:-1]


@pytest.mark.parametrize("written", [0, 10, 40, 60])
def test_crash_while_entries_are_replaced_is_no_damage(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, written: int
):
    """Guards against old records after a torn write, which make it look like damage in the middle of the log."""
    path = tmp_path / "log"
    write_log(path, ENTRIES)
    log = LogFile(path=path)
    log.open(first_index=1)

    def crash(descriptor: int, data: bytes, *, offset: int) -> None:
        os.pwrite(descriptor, data[:written], offset)
        raise OSError("crash")

    monkeypatch.setattr(log_file_module, "_write_all", crash)
    with pytest.raises(StorageError):
        log.append(index=2, entries=[Entry(term=2, data=b"longer than the entry that it replaces")])
    log.close()
    assert read_log(path)[0] == ENTRIES[0]


@pytest.mark.parametrize("failing", ["sync_folder", "_write_all"])
def test_entries_after_failed_rewrite_are_durable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, failing: str
):
    """Guards against appending to a file that a rename has already replaced."""
    store = Store(folder=tmp_path)
    store.open(daemon="a", initial=Configuration(voters=("a/0",)))
    store.entries = list(ENTRIES)
    store.write_entries(index=1, entries=ENTRIES)

    def fail(*_: object, **__: object) -> None:
        raise OSError("read-only file system")

    with monkeypatch.context() as patch:
        patch.setattr(log_file_module, failing, fail)
        with pytest.raises(StorageError):
            store.write_snapshot(Snapshot(index=3, term=1, data=b"state"))
    late = Entry(term=1, data=b"late")
    store.entries.append(late)
    store.write_entries(index=7, entries=[late])
    store.close()
    again = Store(folder=tmp_path)
    again.open(daemon="a", initial=None)
    assert (again.snapshot.index, again.entries) == (3, [*ENTRIES[3:], late])
    again.close()


def test_entries_wait_for_the_name_of_a_replaced_log(tmp_path: Path, monkeypatch: pytest.MonkeyPatch):
    """Guards against losing entries in a power loss that undoes the rename of the file to which they were written (LOST)."""
    log = LogFile(path=tmp_path / "log")
    log.open(first_index=1)
    log.append(index=1, entries=ENTRIES)
    synced: list[Path] = []

    def fail(_: Path) -> None:
        raise OSError("input/output error")

    monkeypatch.setattr(log_file_module, "sync_folder", fail)
    with pytest.raises(StorageError):
        log.rewrite(first_index=4, entries=ENTRIES[3:])
    late = Entry(term=1, data=b"late")
    with pytest.raises(StorageError):
        log.append(index=7, entries=[late])
    monkeypatch.setattr(log_file_module, "sync_folder", synced.append)
    for index in (7, 8):
        log.append(index=index, entries=[late])
    assert synced == [tmp_path]
    log.close()


def test_log_without_vote_file_is_not_initialised(tmp_path: Path):
    """Guards against a second vote in a term after the vote file was lost."""
    write_log(tmp_path / "log", ENTRIES)
    with pytest.raises(LogDamagedError):
        Store(folder=tmp_path).open(daemon="a", initial=Configuration(voters=("a/0",)))


def test_used_folder_is_not_initialised_again(tmp_path: Path):
    """Guards against a restart with `--initialise` that changes identity or group."""
    for initial in (("a/0",), ("a/0", "b/0")):
        store = Store(folder=tmp_path)
        store.open(daemon="a", initial=Configuration(voters=initial))
        assert store.configuration().voters == ("a/0",)
        store.close()


def test_flipped_bit_in_slot_file_does_not_bring_back_an_earlier_vote(tmp_path: Path):
    """Guards against a second vote in a term after one copy of the first vote was damaged."""
    path = tmp_path / "vote"
    slots = SlotFile(path=path)
    slots.open()
    for value in (b"term 1", b"term 2 for a", b"term 2"):
        slots.write(value)
    slots.close()
    raw = path.read_bytes()
    for position in (*range(64), *range(SLOT_BYTES, SLOT_BYTES + 64)):
        path.write_bytes(raw[:position] + bytes([raw[position] ^ 1 << position % 8]) + raw[position + 1 :])
        again = SlotFile(path=path)
        assert again.open() == b"term 2"
        again.close()


def test_renames_of_a_process_that_crashed_are_durable_after_its_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
):
    """Guards against losing entries in a power loss that undoes a rename from before a restart of the process (LOST)."""
    sizes: list[int] = []

    def record_log_size(folder: Path) -> None:
        sizes.append((folder / "log").stat().st_size if (folder / "log").exists() else -1)

    monkeypatch.setattr(store_module, "sync_folder", record_log_size)
    store = Store(folder=tmp_path)
    store.open(daemon="a", initial=Configuration(voters=("a/0",)))
    assert sizes[-1:] == [0], "the name of the new log"
    store.entries = list(ENTRIES)
    store.write_entries(index=1, entries=ENTRIES)
    write_atomically(tmp_path / "snapshot", Snapshot(index=6, term=1, data=b"state").encode())
    store.close()
    sizes.clear()
    again = Store(folder=tmp_path)
    again.open(daemon="a", initial=None)
    again.close()
    assert sizes[:1] > [0], "the name of the snapshot, before the entries that it covers are dropped"
