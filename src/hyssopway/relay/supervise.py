"""Supervises the background tasks of a node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

RESTART_DELAY_S = 0.5


async def supervise(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Runs `work` until it returns; logs an exception and restarts it after a delay."""
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_event(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)


__all__ = ["supervise"]
