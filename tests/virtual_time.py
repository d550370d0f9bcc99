"""An event loop whose clock advances only while all tasks wait, for bounds that must not depend on a busy machine."""

from __future__ import annotations

import asyncio
import selectors
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from concurrent.futures import Executor


class VirtualClock:
    """Time of a `VirtualTimeLoop`.

    Attributes:
        now: Current time, in seconds.
        running_calls: Number of calls in threads that the clock waits for.
    """

    def __init__(self) -> None:
        self.now = 1000.0
        self.running_calls = 0


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the clock instead of waiting for the next timer."""

    def __init__(self, *, clock: VirtualClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> Any:
        """Returns events that are ready; waits for real only while a call in a thread is in progress."""
        if timeout is None or (timeout > 0 and self.clock.running_calls):
            return super().select(None)
        self.clock.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on which a wait takes no real time, and a call in a thread takes no virtual time.

    Attributes:
        clock: Time of the loop.
    """

    def __init__(self) -> None:
        self.clock = VirtualClock()
        super().__init__(VirtualTimeSelector(clock=self.clock))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.clock.now

    def run_in_executor(
        self, executor: Executor | None, func: Callable[..., Any], *args: Any
    ) -> asyncio.Future[Any]:
        """Runs a call in a thread, during which the clock stands still."""
        self.clock.running_calls += 1
        future = super().run_in_executor(executor, func, *args)
        future.add_done_callback(self._end_call)
        return future

    def _end_call(self, _: asyncio.Future[Any]) -> None:
        self.clock.running_calls -= 1


class Gate:
    """Holds calls in threads of a `VirtualTimeLoop`, during which the clock advances, until it is opened.

    Attributes:
        held: Number of calls that it holds.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        self.loop = loop
        self.held = 0
        self.is_open = threading.Event()

    def wait(self) -> None:
        """Blocks the calling thread until the gate is open."""
        self.loop.call_soon_threadsafe(self._hold)
        self.is_open.wait()

    def open(self) -> None:
        """Lets all calls go on."""
        self.loop.clock.running_calls += self.held
        self.held = 0
        self.is_open.set()

    def _hold(self) -> None:
        if not self.is_open.is_set():
            self.loop.clock.running_calls -= 1
            self.held += 1


__all__ = ["Gate", "VirtualTimeLoop"]
