"""An end as its VM lists it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from hyssopway.workflow import RunEnd


class ListedEnd(NamedTuple):
    """An end and its number.

    Attributes:
        number: Number of the end in this boot of the VM, from 1.
        end: The end.
    """

    number: int
    end: RunEnd


__all__ = ["ListedEnd"]
