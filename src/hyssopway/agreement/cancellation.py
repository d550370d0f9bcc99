"""Runs work that must not stop halfway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


async def run_to_completion(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end even when the caller is cancelled.

    A peer that gives up a call cancels its handler. A handler that left while a thread still writes would
    release the member's lock and let a second write into the same file.
    """
    return await asyncio.shield(asyncio.ensure_future(work))


async def defer_cancellation(work: asyncio.Future[T]) -> T:
    """Waits for work that cannot be stopped; a cancellation takes effect when the work has ended.

    Raises:
        CancelledError: The caller was cancelled meanwhile.
    """
    is_cancelled = False
    while not work.done():
        try:
            await asyncio.wait({work})
        except asyncio.CancelledError:
            is_cancelled = True
    if is_cancelled:
        raise asyncio.CancelledError
    return work.result()


__all__ = ["defer_cancellation", "run_to_completion"]
