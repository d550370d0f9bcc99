"""Routing of requests to endpoints by slot credits."""

from __future__ import annotations

from .ledger import CREDIT_LEASE_S, CreditLedger
from .router import Router

__all__ = ["CREDIT_LEASE_S", "CreditLedger", "Router"]
