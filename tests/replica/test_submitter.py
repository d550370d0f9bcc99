"""Submission of commands to a leader that cannot be reached."""

from __future__ import annotations

from types import SimpleNamespace

from hyssopway.clock import monotonic_s
from hyssopway.control.command import CancelJob
from hyssopway.peer import PeerUnreachableError
from hyssopway.replica import Submitter
from hyssopway.result import ResultCode, WorkState


def make_submitter(client):
    return Submitter(
        own_name="b",
        proposer=None,
        peers=SimpleNamespace(client=lambda _: client),
        members=["a"],
        replica=None,
        clock=monotonic_s,
    )


class LosingClient:
    """Member that receives commands without an answer."""

    async def propose(self, *, command, timeout_s):
        raise PeerUnreachableError("reset")


async def submit(client):
    result = await make_submitter(client).submit(CancelJob(job_id="j", team="t"), timeout_s=0.3)
    return result.error


async def test_command_whose_connections_were_refused_has_not_run(unreachable_peer):
    """Guards against an unknown outcome for a change that no member received."""
    failure = await submit(unreachable_peer)
    assert (failure.code, failure.work) == (ResultCode.NO_QUORUM, WorkState.NOT_RUN)


async def test_unanswered_command_may_have_run():
    """Guards against "nothing was changed" for a change whose answer was lost."""
    failure = await submit(LosingClient())
    assert (failure.code, failure.work) == (ResultCode.OUTCOME_UNKNOWN, WorkState.MAY_HAVE_RUN)
