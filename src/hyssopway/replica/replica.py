"""The replicated state on one daemon."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from hyssopway.control import ControlState

if TYPE_CHECKING:
    from hyssopway.control import Outcome

# A follower that lags by more entries reads a snapshot instead.
MAX_RECENT_ENTRIES = 2000


class Replica:
    """Replicated state whose applied index never decreases, with its most recent entries.

    Attributes:
        state: The state.
        recent_entries: Last entries applied, kept for the followers of this daemon.
        snapshot: Index and bytes of the snapshot that is being sent to followers.
        vm_change_events: By VM, the event of the request that waits for orders to that VM.
        change_events: Events of the tasks that wait for new entries.
    """

    __slots__ = ("change_events", "recent_entries", "snapshot", "state", "vm_change_events")

    def __init__(self) -> None:
        self.state = ControlState()
        self.recent_entries: deque[bytes] = deque(maxlen=MAX_RECENT_ENTRIES)
        self.snapshot: tuple[int, bytes] = (0, b"")
        self.change_events: set[asyncio.Event] = set()
        self.vm_change_events: dict[str, asyncio.Event] = {}

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied."""
        return self.state.applied_index

    @property
    def first_kept_index(self) -> int:
        """Index of the oldest entry that is still kept."""
        return self.applied_index - len(self.recent_entries) + 1

    def apply(self, *, index: int, data: bytes) -> Outcome:
        """Applies one committed entry."""
        outcome = self.state.apply(index=index, data=data)
        self.recent_entries.append(data)
        self._notify()
        for vm in self.state.indexes.touched:
            self.notify_vm(vm)
        return outcome

    def encode_snapshot(self) -> bytes:
        """Encodes the state."""
        return self.state.encode_snapshot()

    def restore_snapshot(self, data: bytes) -> None:
        """Replaces the state by a snapshot unless the snapshot is not newer."""
        state = ControlState()
        state.restore_snapshot(data)
        if state.applied_index <= self.state.applied_index:
            return
        self.state = state
        self.recent_entries.clear()
        self._notify()
        for vm in self.vm_change_events:
            self.notify_vm(vm)

    def entries_after(self, index: int) -> tuple[bytes, ...] | None:
        """Returns the entries after an index, or None when some of them are no longer kept."""
        if index + 1 < self.first_kept_index:
            return None
        missing = self.applied_index - index
        return tuple(self.recent_entries[position] for position in range(-missing, 0))

    def cached_snapshot(self, *, offset: int) -> tuple[int, bytes]:
        """Returns index and bytes of the current snapshot; renews it only for a read at offset 0.

        Readers share a snapshot while the entries after it are still kept. Many followers that start
        together neither encode one each nor replace the one that another is reading.
        """
        is_outdated = self.applied_index - self.snapshot[0] > min(
            len(self.recent_entries), MAX_RECENT_ENTRIES // 2
        )
        if offset == 0 and (is_outdated or not self.snapshot[1]):
            self.snapshot = (self.applied_index, self.encode_snapshot())
        return self.snapshot

    async def wait_applied_past(self, index: int, *, timeout_s: float) -> bool:
        """Waits until an entry after an index is applied.

        Returns:
            False when the timeout passed first.
        """
        event = asyncio.Event()
        self.change_events.add(event)
        try:
            async with asyncio.timeout(timeout_s):
                while self.applied_index <= index:
                    event.clear()
                    await event.wait()
        except TimeoutError:
            return False
        finally:
            self.change_events.discard(event)
        return True

    def notify_vm(self, vm: str) -> None:
        """Wakes up the request that waits for orders to a VM."""
        if event := self.vm_change_events.get(vm):
            event.set()

    def _notify(self) -> None:
        for event in self.change_events:
            event.set()


__all__ = ["MAX_RECENT_ENTRIES", "Replica"]
