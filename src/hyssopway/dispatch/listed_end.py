"""End of a run as its VM lists it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from hyssopway.workflow import RunEnd


class ListedEnd(NamedTuple):
    """End of a run with the sequence number that acknowledges it.

    Attributes:
        number: Sequence number of the end within this boot of the VM, from 1.
        end: End of the run.
    """

    number: int
    end: RunEnd


__all__ = ["ListedEnd"]
