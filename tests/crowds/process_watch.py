"""Samples what a process holds: memory, bytes that wait in its sockets, and descriptors."""

from __future__ import annotations

import os
import socket
import struct
import threading
from pathlib import Path
from typing import Self

SAMPLE_INTERVAL_S = 0.025
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LISTEN_STATE = "0A"


class ProcessWatch:
    """Samples one process in a thread while the context is open.

    Attributes:
        pid: Process ID.
        address: Loopback address of the process, written as in ``/proc/net/tcp``; no other process uses it.
        most_held_bytes: Largest sum of resident memory and unread bytes so far.
        most_descriptors: Largest number of open descriptors so far.
    """

    def __init__(self, *, pid: int, host: str) -> None:
        self.pid = pid
        self.address = f"{struct.unpack('=I', socket.inet_aton(host))[0]:08X}:"
        self.most_held_bytes = 0
        self.most_descriptors = 0
        self.resident_at_peak = 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        """Starts the thread."""
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the thread."""
        self.stopped.set()
        self.thread.join()

    def describe(self) -> str:
        """Returns the figures for a report."""
        held, resident = self.most_held_bytes / 1e6, self.resident_at_peak / 1e6
        return (
            f"{held:.0f} MB held at most, {resident:.0f} of it resident; {self.most_descriptors} descriptors"
        )

    def _run(self) -> None:
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            try:
                self._sample()
            except OSError:
                return  # the process has ended

    def _sample(self) -> None:
        resident = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_BYTES
        held = resident + self._count_unread()
        if held > self.most_held_bytes:
            self.most_held_bytes, self.resident_at_peak = held, resident
        self.most_descriptors = max(
            self.most_descriptors, sum(1 for _ in Path(f"/proc/{self.pid}/fd").iterdir())
        )

    def _count_unread(self) -> int:
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local.startswith(self.address) and state != LISTEN_STATE:
                unread += int(queues.partition(":")[2], 16)
        return unread


__all__ = ["ProcessWatch"]
