"""How late a VM may carry out a call."""

from __future__ import annotations

# The platform carries out an order without an answer up to 12 s after it was sent.
MAX_ORDER_DELAY_S = 13.0

__all__ = ["MAX_ORDER_DELAY_S"]
