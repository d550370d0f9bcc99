"""Exit statuses of the command line, documented in `docs/operators.md`."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command; the values are stable across releases."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    MAY_HAVE_RUN = 4
    UNREACHABLE = 5
    WAIT_INCOMPLETE = 6
    BAD_FILE = 64
    NOT_PERMITTED = 77


__all__ = ["ExitStatus"]
