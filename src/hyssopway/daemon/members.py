"""Lists and changes control members through the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result
from pydantic_core import from_json, to_json

from hyssopway.agreement import AddLearner, MemberChange, PromoteLearner, RemoveMember, daemon_of
from hyssopway.peer import PeerUnreachableError
from hyssopway.result import Failure, ResultCode, WorkState

if TYPE_CHECKING:
    from hyssopway.agreement import Member
    from hyssopway.clock import Clock
    from hyssopway.peer import PeerDirectory

LIST_TOPIC = "members"
CHANGE_TOPIC = "change-members"
STATUS_TOPIC = "status"
CALL_TIMEOUT_S = 3.0
STATUS_TIMEOUT_S = 1.0
RETRY_S = 0.2

_CHANGES: dict[str, type[AddLearner | PromoteLearner | RemoveMember]] = {
    "add": AddLearner,
    "promote": PromoteLearner,
    "remove": RemoveMember,
}


class Members:
    """Control members as operators see them.

    Attributes:
        own_name: Name of this daemon.
        member: Control member of this daemon; None without a disk.
        peers: Clients of the other daemons.
        daemons: Daemons with a data folder.
    """

    __slots__ = ("clock", "daemons", "member", "own_name", "peers")

    def __init__(
        self, *, own_name: str, member: Member | None, peers: PeerDirectory, daemons: list[str], clock: Clock
    ) -> None:
        self.own_name = own_name
        self.member = member
        self.peers = peers
        self.daemons = daemons
        self.clock = clock

    async def list_members(self, *, timeout_s: float) -> Result[Any, Failure]:
        """Returns the members as the leader knows them and daemons that wait to be added."""
        match await self._ask_leader(topic=LIST_TOPIC, body={}, timeout_s=timeout_s):
            case Result(tag="ok", ok=found):
                known = {item["member"] for item in found["members"]}
                identities = await asyncio.gather(*(self._identity(daemon) for daemon in self.daemons))
                waiting = sorted(name for name in identities if name and name not in known)
                return Ok({**found, "waiting": waiting})
            case failed:
                return failed

    async def resolve(self, *, action: str, member: str, timeout_s: float) -> Result[str, Failure]:
        """Returns the id of a member that is named by its id or its daemon.

        Args:
            action: One of add, promote, remove.
            member: Id of a member or name of its daemon.
            timeout_s: Seconds after which the leader is given up.
        """
        if action == "add":
            # Only a running daemon knows the identity that its data folder got.
            identity = await self._identity(daemon_of(member)) if daemon_of(member) in self.daemons else ""
            if not identity or ("/" in member and member != identity):
                return Error(_unknown(f"no running control member {member!r} was found"))
            return Ok(identity)
        match await self._ask_leader(topic=LIST_TOPIC, body={}, timeout_s=timeout_s):
            case Result(tag="ok", ok=found):
                names = [item["member"] for item in found["members"]]
                known = [name for name in names if member in (name, daemon_of(name))]
                return Ok(known[0]) if known else Error(_unknown(f"{member!r} is not a member"))
            case Result(error=failure):
                return Error(failure)

    async def change(self, *, action: str, member_id: str, timeout_s: float) -> Result[Any, Failure]:
        """Adds a learner, promotes or removes a member.

        Args:
            action: One of add, promote, remove.
            member_id: Id of the member.
            timeout_s: Seconds after which the outcome is given up.
        """
        body = {"action": action, "member": member_id}
        return await self._ask_leader(topic=CHANGE_TOPIC, body=body, timeout_s=timeout_s)

    def answer_list(self, _: Any) -> dict[str, Any]:
        """Answers another daemon that asks for the members."""
        member = self.member
        if member is None or not member.is_leader:
            return _not_leader(member)
        return {"found": {"leader": member.member_id, "members": _describe(member, now=self.clock())}}

    async def answer_change(self, body: Any) -> dict[str, Any]:
        """Answers another daemon that passes on a change."""
        member = self.member
        if member is None or not member.is_leader:
            return _not_leader(member)
        change = _CHANGES[body["action"]](member_id=_resolve(member, name=body["member"]))
        return await _change(member, change=change)

    async def _ask_leader(self, *, topic: str, body: Any, timeout_s: float) -> Result[Any, Failure]:
        deadline = self.clock() + timeout_s
        hint, attempt, sent = "", 0, False
        while self.clock() < deadline:
            target = hint or self._own_hint() or self.daemons[attempt % len(self.daemons)]
            attempt += 1
            answer: dict[str, Any] = {}
            try:
                answer = await self._ask(target, topic=topic, body=body)
            except PeerUnreachableError:
                sent = True
            if "found" in answer:
                return Ok(answer["found"])
            failure = answer.get("failure", {})
            if sent and body.get("action") == "remove" and failure.get("code") == ResultCode.UNKNOWN_MEMBER:
                # The first try removed it and its answer was lost.
                return Ok({"member": body["member"]})
            if failure and failure["code"] != ResultCode.NOT_LEADER:
                return Error(
                    Failure(
                        code=ResultCode(failure["code"]),
                        message=failure["message"],
                        work=WorkState(failure["work"]),
                        retry_after_s=failure["retry_after_s"],
                    )
                )
            hint = answer.get("leader", "") if answer.get("leader") != target else ""
            if not hint:
                await asyncio.sleep(RETRY_S)
        code = ResultCode.OUTCOME_UNKNOWN if sent and topic == CHANGE_TOPIC else ResultCode.NO_QUORUM
        work = WorkState.MAY_HAVE_RUN if code is ResultCode.OUTCOME_UNKNOWN else WorkState.NOT_RUN
        return Error(Failure(code=code, message="no leader answered in time", work=work, retry_after_s=1.0))

    async def _ask(self, target: str, *, topic: str, body: Any) -> dict[str, Any]:
        if target == self.own_name:
            # Encoded like the answer of another daemon, so that a failure reads the same.
            own = self.answer_list(body) if topic == LIST_TOPIC else await self.answer_change(body)
            raw = to_json(own, inf_nan_mode="null")
        else:
            client = self.peers.client(target)
            raw = await client.exchange(topic=topic, data=to_json(body), timeout_s=CALL_TIMEOUT_S)
        found: dict[str, Any] = from_json(raw)
        return found

    def _own_hint(self) -> str:
        return self.member.leader_daemon if self.member is not None else ""

    async def _identity(self, daemon: str) -> str:
        if daemon == self.own_name:
            return self.member.member_id if self.member is not None else ""
        try:
            client = self.peers.client(daemon)
            raw = await client.exchange(topic=STATUS_TOPIC, data=b"{}", timeout_s=STATUS_TIMEOUT_S)
        except PeerUnreachableError:
            return ""
        return str(from_json(raw).get("member_id") or "")


async def _change(member: Member, *, change: MemberChange) -> dict[str, Any]:
    match await member.change_members(change, timeout_s=CALL_TIMEOUT_S - 0.5):
        case Result(tag="ok", ok=outcome):
            return {"found": {"index": outcome.index, "member": change.member_id}}
        case Result(error=failure):
            return {"failure": failure, "leader": member.leader_daemon}


def _resolve(member: Member, *, name: str) -> str:
    found = [item for item in member.configuration.members if name in (item, daemon_of(item))]
    return found[0] if found else name


def _describe(member: Member, *, now: float) -> list[dict[str, Any]]:
    return [
        {
            "member": name,
            "daemon": daemon_of(name),
            "voter": name in member.configuration.voters,
            "match_index": member.store.synced_index
            if name == member.member_id
            else member.progress[name].match_index,
            "answered_s": 0.0 if name == member.member_id else now - member.progress[name].acked_at,
        }
        for name in member.configuration.members
    ]


def _unknown(message: str) -> Failure:
    return Failure(code=ResultCode.UNKNOWN_MEMBER, message=message)


def _not_leader(member: Member | None) -> dict[str, Any]:
    failure = Failure(code=ResultCode.NOT_LEADER, message="this daemon does not lead")
    return {"failure": failure, "leader": member.leader_daemon if member else ""}


__all__ = ["CHANGE_TOPIC", "LIST_TOPIC", "STATUS_TOPIC", "Members"]
