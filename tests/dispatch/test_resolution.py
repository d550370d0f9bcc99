"""Tests the resolution of runs that a VM does not list."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.order_state import OrderState
from hyssopway.dispatch.resolution import Resolution, resolve_unlisted


@pytest.mark.parametrize(
    ("flight", "run_token", "sent_at", "expected"),
    [
        pytest.param(
            OrderState(unlisted_since=5.0), 3, 5.5, Resolution.WAIT, id="former leader may have stopped it"
        ),
        pytest.param(
            OrderState(accepted_at=1.0, stopped_at=5.0, unlisted_since=5.1),
            4,
            5.5,
            Resolution.WAIT,
            id="being stopped",
        ),
        pytest.param(
            OrderState(unlisted_since=4.0), 3, 5.0, Resolution.NEVER_RAN, id="order of a fenced leader"
        ),
        pytest.param(
            OrderState(unlisted_since=5.0), 4, 5.0, Resolution.STOP, id="own order whose state was discarded"
        ),
        pytest.param(OrderState(is_sending=True), 4, 5.0, Resolution.WAIT, id="start in flight"),
        pytest.param(OrderState(), 4, 5.0, Resolution.STOP, id="unanswered start"),
        pytest.param(
            OrderState(stopped_at=4.0, unlisted_since=3.0),
            4,
            5.0,
            Resolution.NEVER_RAN,
            id="stopped before it arrived",
        ),
        pytest.param(
            OrderState(stopped_at=6.0, unlisted_since=3.0),
            4,
            5.0,
            Resolution.WAIT,
            id="stop is newer than the listing",
        ),
        pytest.param(OrderState(accepted_at=6.0), 4, 5.0, Resolution.WAIT, id="accepted after the listing"),
        pytest.param(
            OrderState(accepted_at=3.0, unlisted_since=4.0),
            4,
            5.0,
            Resolution.VANISHED,
            id="accepted and gone",
        ),
    ],
)
def test_resolution(flight, run_token, sent_at, expected):
    """Guards against resolving a run whose start may still be carried out."""
    decision = resolve_unlisted(
        order_state=flight,
        run_token=run_token,
        own_token=4,
        term_acked_at=3.0,
        listing_sent_at=sent_at,
        stop_s=0.9,
    )
    assert decision is expected
