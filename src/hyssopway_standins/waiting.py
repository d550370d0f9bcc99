"""Polls a deployment until a condition holds."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

POLL_S = 0.1


async def wait_until(check: Callable[[], Awaitable[Any]], *, timeout_s: float = 15.0) -> Any:
    """Repeats a check until it returns a true value, and returns that value.

    Raises:
        TimeoutError: The check returned no true value in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        found = await check()
        if found:
            return found
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition did not hold within {timeout_s} s")
        await asyncio.sleep(POLL_S)


__all__ = ["wait_until"]
