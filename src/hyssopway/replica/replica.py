"""The agreed state on one daemon."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from hyssopway.control import ControlState

if TYPE_CHECKING:
    from hyssopway.control import Outcome

# A follower that missed more entries reads a snapshot instead.
RECENT_ENTRIES = 2000


class Replica:
    """Agreed state that only moves forward, with the entries that made it.

    Attributes:
        state: The state.
        recent: Last entries applied, for followers of this daemon.
        snapshot: Index and bytes of the snapshot that readers are in the middle of.
        vm_wakers: Event of the request that waits for orders to a VM.
        wakers: Events of tasks that wait for a change.
    """

    __slots__ = ("recent", "snapshot", "state", "vm_wakers", "wakers")

    def __init__(self) -> None:
        self.state = ControlState()
        self.recent: deque[bytes] = deque(maxlen=RECENT_ENTRIES)
        self.snapshot: tuple[int, bytes] = (0, b"")
        self.wakers: set[asyncio.Event] = set()
        self.vm_wakers: dict[str, asyncio.Event] = {}

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied."""
        return self.state.applied_index

    @property
    def first_recent_index(self) -> int:
        """Index of the oldest entry that is kept."""
        return self.applied_index - len(self.recent) + 1

    def apply(self, *, index: int, data: bytes) -> Outcome:
        """Applies one committed entry."""
        outcome = self.state.apply(index=index, data=data)
        self.recent.append(data)
        self._wake()
        for vm in self.state.indexes.touched:
            self.wake_vm(vm)
        return outcome

    def encode_snapshot(self) -> bytes:
        """Encodes the state."""
        return self.state.encode_snapshot()

    def restore_snapshot(self, data: bytes) -> None:
        """Takes over a snapshot unless it is older than the state."""
        state = ControlState()
        state.restore_snapshot(data)
        if state.applied_index <= self.state.applied_index:
            return
        self.state = state
        self.recent.clear()
        self._wake()
        for vm in self.vm_wakers:
            self.wake_vm(vm)

    def entries_after(self, index: int) -> tuple[bytes, ...] | None:
        """Returns the entries behind an index, or None when they are no longer kept."""
        if index + 1 < self.first_recent_index:
            return None
        missing = self.applied_index - index
        return tuple(self.recent[position] for position in range(-missing, 0))

    def cached_snapshot(self, *, offset: int) -> tuple[int, bytes]:
        """Returns index and bytes of a snapshot; a new one only for a reader at its start.

        The snapshot is shared while its readers can go on with the entries that are kept, so that many
        followers that start together neither have it encoded for each nor replace it under one another.
        """
        too_old = self.applied_index - self.snapshot[0] > min(len(self.recent), RECENT_ENTRIES // 2)
        if offset == 0 and (too_old or not self.snapshot[1]):
            self.snapshot = (self.applied_index, self.encode_snapshot())
        return self.snapshot

    async def wait_beyond(self, index: int, *, timeout_s: float) -> bool:
        """Waits until something behind an index is applied."""
        waker = asyncio.Event()
        self.wakers.add(waker)
        try:
            async with asyncio.timeout(timeout_s):
                while self.applied_index <= index:
                    waker.clear()
                    await waker.wait()
        except TimeoutError:
            return False
        finally:
            self.wakers.discard(waker)
        return True

    def wake_vm(self, vm: str) -> None:
        """Wakes the request that waits for orders to a VM."""
        if waker := self.vm_wakers.get(vm):
            waker.set()

    def _wake(self) -> None:
        for waker in self.wakers:
            waker.set()


__all__ = ["RECENT_ENTRIES", "Replica"]
