"""Loads the Cap'n Proto schema."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import capnp

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("schema.capnp")))

__all__ = ["SCHEMA"]
