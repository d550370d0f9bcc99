"""Forwards requests to the leader."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING

from hyssopway.event import Event, log_event
from hyssopway.peer import PeerUnreachableError

from .relayed_reply import RelayedReply
from .topics import RELAY

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .leader_finder import LeaderFinder
    from .relayed_request import RelayedRequest

ATTEMPT_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.05


class UnansweredError(Exception):
    """No leader responded in time.

    Attributes:
        may_have_run: Whether a leader may have received the request.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class Relay:
    """Sends requests to the current leader; retries after a lost reply, as all requests are idempotent.

    Attributes:
        finder: Tracks the current leader.
    """

    __slots__ = ("finder",)

    def __init__(self, *, finder: LeaderFinder) -> None:
        self.finder = finder

    async def send(
        self,
        request: RelayedRequest,
        *,
        timeout_s: float,
        confirm: Callable[[], Awaitable[bool]] | None = None,
        may_have_run: bool = False,
    ) -> RelayedReply:
        """Returns the leader's reply.

        Args:
            request: The request.
            timeout_s: Time in seconds within which a leader must respond.
            confirm: Returns whether the caller still waits; None if the leader never asks for it.
            may_have_run: Whether the request may already take effect, because this node led until a moment ago.

        Raises:
            UnansweredError: No leader responded within `timeout_s` seconds, the caller no longer waits, or a refusal
                followed an attempt that may have run.
        """
        clock = self.finder.clock
        started_at = clock()
        data = request.encode()
        reason = "no leader is known"
        while (left_s := timeout_s - (clock() - started_at)) > 0:
            leader = await self._wait_for_leader(left_s)
            if not leader:
                break
            left_s = timeout_s - (clock() - started_at)
            try:
                reply = await self._attempt(leader, data=data, timeout_s=min(ATTEMPT_TIMEOUT_S, left_s))
            except (
                PeerUnreachableError,
                ValueError,
                RecursionError,
            ) as error:  # no reply, or a malformed one
                may_have_run = may_have_run or _may_be_received(error)
                reason = str(error)
                self.finder.clear_leader(leader, reason=reason)
                continue
            if reply.status:
                if may_have_run and _is_refused(request, reply):
                    reason = (
                        f"{leader} refused it with {reply.status} after an attempt whose outcome is unknown"
                    )
                    self._log_failure(request, reason=reason, waited_s=clock() - started_at)
                    raise UnansweredError(reason, may_have_run=True)
                return reply
            if reply.confirm_token:
                if confirm is None or not await confirm():
                    raise UnansweredError("the caller no longer waits", may_have_run=may_have_run)
                data = replace(request, confirm_token=reply.confirm_token).encode()
                continue
            may_have_run = may_have_run or reply.may_have_run
            reason = f"{leader} is not the leader"
            if reply.leader != leader:
                self.finder.clear_leader(leader, reason=reason)
                self.finder.set_leader(reply.leader)
            await asyncio.sleep(RETRY_DELAY_S)
        self._log_failure(request, reason=reason, waited_s=clock() - started_at)
        raise UnansweredError(reason, may_have_run=may_have_run)

    def _log_failure(self, request: RelayedRequest, *, reason: str, waited_s: float) -> None:
        log_event(
            Event.RELAY_FAILED,
            method=request.method,
            path=request.path,
            waited_ms=round(waited_s * 1000),
            reason=reason,
        )

    async def _attempt(self, leader: str, *, data: bytes, timeout_s: float) -> RelayedReply:
        client = self.finder.directory.client(leader)
        return RelayedReply.decode(await client.exchange(topic=RELAY, data=data, timeout_s=timeout_s))

    async def _wait_for_leader(self, timeout_s: float) -> str:
        if not self.finder.leader:
            try:
                async with asyncio.timeout(timeout_s):
                    await self.finder.changed.wait()
            except TimeoutError:
                return ""
        return self.finder.leader


def _may_be_received(error: Exception) -> bool:
    """Returns whether a leader may have received a request whose attempt failed with this error."""
    return not isinstance(error, PeerUnreachableError) or error.is_sent


def _is_refused(request: RelayedRequest, reply: RelayedReply) -> bool:
    """Returns whether a reply says that a change was not carried out.

    It is true of the attempt that it answers only: a key or a queue may have been removed since an earlier attempt, and a
    change that is still being committed is not visible yet.
    """
    return request.method != "GET" and reply.status >= HTTPStatus.BAD_REQUEST


__all__ = ["Relay", "UnansweredError"]
