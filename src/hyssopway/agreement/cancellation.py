"""Protection of store writes against task cancellation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


async def run_to_completion(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to completion even if the caller is cancelled.

    When a peer abandons a call, its handler is cancelled. A handler that exited while a thread is still writing
    would release the member's lock and allow a second, concurrent write to the same file.
    """
    return await asyncio.shield(asyncio.ensure_future(work))


async def defer_cancellation(work: asyncio.Future[T]) -> T:
    """Waits for work that cannot be interrupted and delivers a cancellation only after the work has ended.

    Raises:
        CancelledError: The caller was cancelled while it waited.
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
