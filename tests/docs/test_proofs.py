"""The page of proofs against the tests."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_every_test_named_as_a_proof_exists():
    """Guards against a promise whose proof was renamed or removed."""
    named = re.findall(
        r"`([a-z_]+/test_[a-z_]+\.py)(?:::(test_\w+))?`", (ROOT / "docs/proofs.md").read_text()
    )
    assert len(named) > 30
    for file, test in named:
        path = ROOT / "tests" / file
        assert path.exists(), file
        assert f"def {test}(" in path.read_text() if test else True, f"{file}::{test}"
