"""Tail latency of a latency-bound run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencySample:
    """Tail latency of a latency-bound run.

    Attributes:
        image: Image that the run executes.
        target_ms: Target of the tail latency in milliseconds.
        tail_ms: Tail latency over the last half second, in milliseconds; 0 when the run served no request.
    """

    image: str
    target_ms: int
    tail_ms: int


__all__ = ["LatencySample"]
