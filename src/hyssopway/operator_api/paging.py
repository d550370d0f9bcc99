"""Pages of long lists."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from expression import Error, Ok, Result

from hyssopway.result import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from typing import Any

T = TypeVar("T")

# An answer of this many jobs is about 6 MB.
MAX_PAGE = 10_000
MAX_DIGITS = 18


@dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Part of a list.

    Attributes:
        limit: Most items; all without a limit.
        after: Cursor of the last item of the page before; empty for the first page.
    """

    limit: int | None
    after: str

    def cut(self, items: Iterable[T], *, cursor: Callable[[T], Any]) -> tuple[list[T], str | None]:
        """Returns the items of this page and the cursor of the next page, None when nothing follows.

        Args:
            items: All items.
            cursor: Returns what items are sorted by, of one type and different for each item.
        """
        ordered = sorted(items, key=cursor)
        if self.after:
            ordered = [item for item in ordered if cursor(item) > type(cursor(item))(self.after)]
        if self.limit is None or len(ordered) <= self.limit:
            return ordered, None
        kept = ordered[: self.limit]
        return kept, str(cursor(kept[-1]))


def read_page(query: Mapping[str, str], *, numbered: bool = False) -> Result[Page, Failure]:
    """Reads `limit` and `after`.

    Args:
        query: Query of the request.
        numbered: Whether cursors are numbers.
    """
    limit, after = query.get("limit"), query.get("after", "")
    if limit is not None and not (_is_number(limit) and 1 <= int(limit) <= MAX_PAGE):
        return _refuse(f"limit is {limit[:40]!r}; it must be a number from 1 to {MAX_PAGE}")
    if after and numbered and not _is_number(after):
        return _refuse(f"after is {after[:40]!r}; it must be the value `next` of the page before")
    return Ok(Page(limit=None if limit is None else int(limit), after=after))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS


def _refuse(message: str) -> Result[Page, Failure]:
    return Error(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))


__all__ = ["Page", "read_page"]
