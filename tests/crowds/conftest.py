"""Fixtures of the crowd tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from .system import System

if TYPE_CHECKING:
    from collections.abc import Iterator


@pytest.fixture
def system(tmp_path) -> Iterator[System]:
    """A running control process and a running entry process."""
    prepared = System(folder=tmp_path)
    prepared.start()
    yield prepared
    prepared.stop()


@pytest.fixture
def system_with_few_descriptors(tmp_path) -> Iterator[System]:
    """The same with 400 descriptors for each process, 200 of them reserved."""
    prepared = System(folder=tmp_path, descriptors=400)
    prepared.start()
    yield prepared
    prepared.stop()
