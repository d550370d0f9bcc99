"""API keys of teams."""

from __future__ import annotations

from .checking import check_key
from .format import hash_secret, make_key, split_key

__all__ = ["check_key", "hash_secret", "make_key", "split_key"]
