"""Cursor-based paging of lists."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from expression import Error, Ok, Result

from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from typing import Any

T = TypeVar("T")

# A response with this number of jobs is about 6 MB.
MAX_PAGE_ITEMS = 10_000
MAX_DIGITS = 18


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Selects one page of a list.

    Attributes:
        limit: Maximum number of items; None for all.
        after: Cursor of the last item on the previous page; empty for the first page.
    """

    limit: int | None
    after: str

    def select(self, items: Iterable[T], *, cursor: Callable[[T], Any]) -> tuple[list[T], str | None]:
        """Returns the items of this page and the cursor for the next page, None on the last page.

        Args:
            items: All items in any order.
            cursor: Returns the sort key of an item: unique, and an int or a str for all items.
        """
        ordered = sorted(items, key=cursor)
        if self.after:
            ordered = [item for item in ordered if cursor(item) > type(cursor(item))(self.after)]
        if self.limit is None or len(ordered) <= self.limit:
            return ordered, None
        kept = ordered[: self.limit]
        return kept, str(cursor(kept[-1]))


def read_page(query: Mapping[str, str], *, numeric_cursor: bool = False) -> Result[Page, Failure]:
    """Reads and checks the parameters `limit` and `after` of a query.

    Args:
        query: Query of the request.
        numeric_cursor: Whether cursors are numbers.
    """
    limit, after = query.get("limit"), query.get("after", "")
    if limit is not None and not (_is_number(limit) and 1 <= int(limit) <= MAX_PAGE_ITEMS):
        return _malformed(f"limit is {limit[:40]!r}; it must be a number from 1 to {MAX_PAGE_ITEMS}")
    if after and numeric_cursor and not _is_number(after):
        return _malformed(f"after is {after[:40]!r}; it must be the value `next` of the previous page")
    return Ok(Page(limit=None if limit is None else int(limit), after=after))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS


def _malformed(message: str) -> Result[Page, Failure]:
    return Error(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))


__all__ = ["Page", "read_page"]
