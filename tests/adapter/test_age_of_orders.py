"""Greatest age of an order for a zone that a leader carries out."""

from __future__ import annotations

from hyssopway.http.pause_detector import MAX_TICK_DELAY_S, TICK_INTERVAL_S
from hyssopway.http.waiting_caller import READ_DELAY_S
from hyssopway.relay.confirm_token import MAX_TOKEN_AGE_S
from hyssopway_platform.request_listener import PATIENCE_S

# Operators send an order again elsewhere after this time without a response, in seconds.
OPERATOR_TIMEOUT_S = 1.0


def test_order_is_carried_out_before_its_caller_sends_it_elsewhere():
    """Guards against parts of the age that are each allowed and together undo a newer order (EVAC).

    An order waits unread during a pause that is too short to be noticed, on its way to the leader and back, and on its way
    to the leader with the token.
    """
    unnoticed_pause_s = TICK_INTERVAL_S + MAX_TICK_DELAY_S
    assert unnoticed_pause_s + PATIENCE_S + READ_DELAY_S + MAX_TOKEN_AGE_S < OPERATOR_TIMEOUT_S
