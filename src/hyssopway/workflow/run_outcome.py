"""How a run ended."""

from __future__ import annotations

from enum import StrEnum


class RunOutcome(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease expired
    BROKEN = "broken"  # another member of its gang ended
    ALONE = "alone"  # the other members of its gang did not start in time
    NOT_STARTED = "not_started"  # known never to have started
    LOST = "lost"  # its VM restarted or is gone


__all__ = ["RunOutcome"]
