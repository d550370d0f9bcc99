"""Paging through lists that change between pages."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hyssopway.operator_api.paging import read_page


@given(
    items=st.sets(st.integers(1, 60)),
    changes=st.lists(st.tuples(st.integers(1, 60), st.booleans()), max_size=30),
    limit=st.integers(1, 9),
)
def test_pages_contain_each_permanent_item_once(items, changes, limit):
    """Guards against items that are repeated or skipped because others are added or removed between pages."""
    permanent = items - {item for item, _ in changes}
    present, found, after = set(items), [], ""
    while after is not None:
        page = read_page({"limit": str(limit), "after": after}, numeric_cursor=True).ok
        part, after = page.select(present, cursor=lambda item: item)
        assert len(part) <= limit
        found += part
        if changes:
            item, added = changes.pop()
            present = present | {item} if added else present - {item}
    assert found == sorted(set(found))
    assert permanent <= set(found)
