"""Routes requests to endpoints by credit-based flow control over their slots."""

from __future__ import annotations

from .held_credit import HeldCredit
from .held_credit_collector import GRANTS_TOPIC, HeldCreditCollector
from .home_directory import SUMMARY_TOPIC, SUMMARY_VALID_S, HomeDirectory
from .ledger import CLOCK_DRIFT_MARGIN_S, CREDIT_LEASE_S, CreditLedger
from .router import Router

__all__ = [
    "CLOCK_DRIFT_MARGIN_S",
    "CREDIT_LEASE_S",
    "GRANTS_TOPIC",
    "SUMMARY_TOPIC",
    "SUMMARY_VALID_S",
    "CreditLedger",
    "HeldCredit",
    "HeldCreditCollector",
    "HomeDirectory",
    "Router",
]
