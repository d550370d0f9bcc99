"""Decides which ends of runs a poll may acknowledge.

A VM numbers its ends anew in each boot and forgets those that are acknowledged. A poll names no boot, so a number of an
earlier boot would make the next one forget ends that no leader has read.
"""

from __future__ import annotations

# A VM that has restarted needs longer until a run ends on its next boot.
MAX_ANSWER_AGE_S = 0.5


def choose_acknowledged_end(*, last_end: int, answer_age_s: float, consecutive_losses: int) -> int:
    """Returns the number of the last end that a VM may forget; 0 if it may have restarted since its last answer.

    The VM then lists its ends again, and the next poll acknowledges them.

    Args:
        last_end: Number of the last committed end of the boot in the record.
        answer_age_s: Seconds since that boot last answered a poll; infinite if it has not answered this leader.
        consecutive_losses: Unanswered polls since then; each may have been carried out.
    """
    if consecutive_losses or answer_age_s > MAX_ANSWER_AGE_S:
        return 0
    return last_end


__all__ = ["choose_acknowledged_end"]
