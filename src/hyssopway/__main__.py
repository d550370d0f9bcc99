"""Runs the daemon as ``python -m hyssopway``."""

from __future__ import annotations

import sys

from hyssopway.run import main

sys.exit(main())
