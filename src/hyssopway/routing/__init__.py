"""Routing of requests to endpoints by slot credits."""

from __future__ import annotations

from .held_credit import HeldCredit
from .held_credit_collector import GRANTS_TOPIC, HeldCreditCollector
from .home_directory import SUMMARY_TOPIC, SUMMARY_VALID_S, HomeDirectory
from .ledger import CREDIT_LEASE_S, HOME_MARGIN_S, CreditLedger
from .router import Router

__all__ = [
    "CREDIT_LEASE_S",
    "GRANTS_TOPIC",
    "HOME_MARGIN_S",
    "SUMMARY_TOPIC",
    "SUMMARY_VALID_S",
    "CreditLedger",
    "HeldCredit",
    "HeldCreditCollector",
    "HomeDirectory",
    "Router",
]
