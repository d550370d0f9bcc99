"""A small linearizability checker for histories of promotions and reads."""

from __future__ import annotations

from dataclasses import dataclass

PENDING = float("inf")
REFUSED = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class Operation:
    """One call with the times of its start and its answer.

    A promotion compares the generation that it expects and sets the next one. With `end` PENDING its answer was
    lost, so it took effect at any later time or never.
    """

    start: float
    end: float
    expected: int | None = None
    result: int | None = None

    def apply(self, generation: int) -> int | None:
        """Returns the generation behind the operation, or None when it cannot stand here."""
        if self.expected is None:
            return generation if self.result == generation else None
        accepted = self.expected == generation
        if self.end != PENDING and accepted != (self.result == self.expected + 1):
            return None
        return generation + accepted


def is_linearizable(history: list[Operation]) -> bool:
    """Tells whether some order that respects real time explains all results."""
    seen: set[tuple[frozenset[int], int]] = set()
    stack = [(frozenset(range(len(history))), 0)]
    while stack:
        left, generation = stack.pop()
        if all(history[number].end == PENDING for number in left):
            return True
        if (left, generation) in seen:
            continue
        seen.add((left, generation))
        first_end = min(history[number].end for number in left)
        for number in left:
            if history[number].start <= first_end:
                following = history[number].apply(generation)
                if following is not None:
                    stack.append((left - {number}, following))
    return False
