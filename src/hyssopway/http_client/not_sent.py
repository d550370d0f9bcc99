"""Error of a request that did not leave the process."""

from __future__ import annotations


class NotSentError(Exception):
    """Nothing of a request was written."""


__all__ = ["NotSentError"]
