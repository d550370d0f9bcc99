"""Client of the platform that owns the VMs."""

from __future__ import annotations
