"""How a run ends."""

from __future__ import annotations

from enum import StrEnum


class RunOutcome(StrEnum):
    """End of one run."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"  # its lease ended
    BROKEN = "broken"  # another member of its gang ended
    ALONE = "alone"  # the other members of its gang did not arrive
    NOT_STARTED = "not_started"  # certainly never ran
    LOST = "lost"  # its VM is gone


__all__ = ["RunOutcome"]
