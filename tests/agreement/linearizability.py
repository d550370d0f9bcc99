"""A linearizability checker for histories of compare-and-set promotions and reads."""

from __future__ import annotations

from dataclasses import dataclass

PENDING = float("inf")
REFUSED = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """An operation with the times at which it started and ended.

    A promotion compares the generation with the expected one and, if equal, increments it. A promotion whose `end` is
    PENDING got no answer: it may take effect at any time after its start or never.

    Attributes:
        start: Time of the call, in seconds.
        end: Time of the answer, in seconds; PENDING if the answer was lost.
        expected: Generation that a promotion expects; None for a read.
        result: Generation that was returned; REFUSED for a refused promotion.
    """

    start: float
    end: float
    expected: int | None = None
    result: int | None = None

    def apply(self, generation: int) -> int | None:
        """Returns the generation after the operation, or None if its result contradicts `generation`."""
        if self.expected is None:
            return generation if self.result == generation else None
        accepted = self.expected == generation
        if self.end != PENDING and accepted != (self.result == self.expected + 1):
            return None
        return generation + accepted


def is_linearizable(history: list[Operation]) -> bool:
    """Returns whether some sequential order that respects real time explains all results."""
    explored: set[tuple[frozenset[int], int]] = set()
    stack = [(frozenset(range(len(history))), 0)]
    while stack:
        remaining, generation = stack.pop()
        if all(history[number].end == PENDING for number in remaining):
            return True
        if (remaining, generation) in explored:
            continue
        explored.add((remaining, generation))
        first_end = min(history[number].end for number in remaining)
        for number in remaining:
            if history[number].start <= first_end:
                next_generation = history[number].apply(generation)
                if next_generation is not None:
                    stack.append((remaining - {number}, next_generation))
    return False
