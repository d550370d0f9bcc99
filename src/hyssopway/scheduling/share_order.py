"""Service order by team shares, for pools in which the waiting tasks of several teams exceed the free capacity."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import groupby
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterator, Sequence

T = TypeVar("T")


def serve_by_share(
    items: Sequence[T],
    *,
    level_of: Callable[[T], Hashable],
    account_of: Callable[[T], tuple[str, str]],
    excess_of: Callable[[tuple[str, str]], float],
) -> Iterator[T]:
    """Yields items in the order of service.

    Within a level, items of accounts without an excess come first in the given order; then those of the account with
    the least excess. The excess of an account is read again after each of its items, so that starts within the same
    round count.

    Args:
        items: Items in the order of service without shares, by level.
        level_of: Returns the level of an item, which takes precedence over shares.
        account_of: Returns the pool and team of an item.
        excess_of: Returns the present excess of an account; 0 within the tolerance.
    """
    numbered = enumerate(items)
    for _, level in groupby(numbered, key=lambda pair: level_of(pair[1])):
        by_account: dict[tuple[str, str], list[tuple[int, T]]] = {}
        for number, item in level:
            by_account.setdefault(account_of(item), []).append((number, item))
        heap = []
        for account, members in by_account.items():
            members.reverse()
            heap.append((excess_of(account), members[-1][0], account))
        heapify(heap)
        while heap:
            _, _, account = heappop(heap)
            members = by_account[account]
            yield members.pop()[1]
            if members:
                heappush(heap, (excess_of(account), members[-1][0], account))


__all__ = ["serve_by_share"]
