"""Fixtures of the agreed state."""

from __future__ import annotations

import pytest
from small_fleet import small_fleet


@pytest.fixture
def state_machine():
    """A small fleet in agreed state."""
    return small_fleet()
