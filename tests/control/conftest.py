"""Fixtures of the replicated state."""

from __future__ import annotations

import pytest
from small_fleet import small_fleet


@pytest.fixture
def fleet():
    """A replicated state with a small fleet."""
    return small_fleet()
