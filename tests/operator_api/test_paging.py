"""Pages of lists that change while they are read."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from hyssopway.operator_api.paging import read_page


@given(
    items=st.sets(st.integers(1, 60)),
    changes=st.lists(st.tuples(st.integers(1, 60), st.booleans()), max_size=30),
    limit=st.integers(1, 9),
)
def test_pages_hold_each_lasting_item_once(items, changes, limit):
    """Guards against items that are listed twice or left out because others came or went meanwhile."""
    lasting = items - {item for item, _ in changes}
    present, found, after = set(items), [], ""
    while after is not None:
        page = read_page({"limit": str(limit), "after": after}, numbered=True).ok
        part, after = page.cut(present, cursor=lambda item: item)
        assert len(part) <= limit
        found += part
        if changes:
            item, comes = changes.pop()
            present = present | {item} if comes else present - {item}
    assert found == sorted(set(found))
    assert lasting <= set(found)
