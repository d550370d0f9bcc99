"""Fixtures for in-process Raft groups."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from .group import NAMES, Group

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@pytest.fixture
async def group(tmp_path: Path) -> AsyncIterator[Group]:
    """Five running members."""
    prepared = Group(folder=tmp_path)
    prepared.start(*NAMES)
    yield prepared
    await prepared.stop()
