"""Division of capacity among teams."""

from __future__ import annotations

import pytest

from hyssopway.scheduling.fair_shares import fair_shares


@pytest.mark.parametrize(
    ("weights", "demands", "expected"),
    [
        ({"a": 1, "b": 3}, {"a": 1, "b": 1}, {"a": 0.25, "b": 0.75}),
        ({"a": 1, "b": 3}, {"a": 1, "b": 0.1}, {"a": 0.9, "b": 0.1}),
        ({"a": 1, "b": 1, "c": 2}, {"a": 0.1, "b": 1, "c": 1}, {"a": 0.1, "b": 0.3, "c": 0.6}),
        ({"a": 1}, {"a": 0.4}, {"a": 0.4}),
        ({}, {}, {}),
    ],
    ids=["full", "borrowed", "three", "fleet not full", "no team"],
)
def test_fair_shares(weights, demands, expected):
    """Guards against a share that a team gets at the expense of a team with unmet demand for its own."""
    assert fair_shares(weights=weights, demands=demands) == pytest.approx(expected)


def test_weights_that_differ_by_many_orders():
    """Guards against a division by zero, which would end each scheduling round."""
    shares = fair_shares(weights={"a": 1.0, "b": 1e-17}, demands={"a": 0.5, "b": 1.0})
    assert shares == pytest.approx({"a": 0.5, "b": 0.5})
