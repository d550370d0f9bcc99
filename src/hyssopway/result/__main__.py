"""Prints the first columns of the table in `docs/errors.md`: ``python -m hyssopway.result``."""

from __future__ import annotations

from .code import ResultCode
from .http_status import http_status

for code in ResultCode:
    print(f"| {int(code)} | {code.name} | {http_status(code).value} |")  # noqa: T201
