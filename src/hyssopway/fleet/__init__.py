"""Pools, drains, maintenance waves and availability zones."""

from __future__ import annotations
