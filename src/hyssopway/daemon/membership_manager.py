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

_CHANGE_TYPES: dict[str, type[AddLearner | PromoteLearner | RemoveMember]] = {
    "add": AddLearner,
    "promote": PromoteLearner,
    "remove": RemoveMember,
}


class MembershipManager:
    """Lists and changes control members; other daemons forward their calls to the one on the leader.

    Attributes:
        own_name: Name of this daemon.
        member: Control member of this daemon; None without a data folder.
        peers: Clients of the other daemons.
        daemons: Names of the daemons with a data folder.
        clock: Monotonic seconds.
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
        """Returns the members known to the leader, and running members that are not added yet."""
        match await self._call_leader(topic=LIST_TOPIC, body={}, timeout_s=timeout_s):
            case Result(tag="ok", ok=found):
                known = {item["member"] for item in found["members"]}
                member_ids = await asyncio.gather(*(self._fetch_member_id(daemon) for daemon in self.daemons))
                waiting = sorted(name for name in member_ids if name and name not in known)
                return Ok({**found, "waiting": waiting})
            case failed:
                return failed

    async def resolve(self, *, action: str, member: str, timeout_s: float) -> Result[str, Failure]:
        """Returns the ID of a member that is given by its ID or its daemon.

        Args:
            action: One of add, promote, remove.
            member: ID of a member or name of its daemon.
            timeout_s: Timeout of the call to the leader, in seconds.
        """
        if action == "add":
            # The member ID is stored in the data folder, so only the running daemon can report it.
            member_id = (
                await self._fetch_member_id(daemon_of(member)) if daemon_of(member) in self.daemons else ""
            )
            if not member_id or ("/" in member and member != member_id):
                return Error(_unknown_member(f"no running daemon has the control member {member!r}"))
            return Ok(member_id)
        match await self._call_leader(topic=LIST_TOPIC, body={}, timeout_s=timeout_s):
            case Result(tag="ok", ok=found):
                names = [item["member"] for item in found["members"]]
                known = [name for name in names if member in (name, daemon_of(name))]
                return Ok(known[0]) if known else Error(_unknown_member(f"{member!r} is not a member"))
            case Result(error=failure):
                return Error(failure)

    async def change(self, *, action: str, member_id: str, timeout_s: float) -> Result[Any, Failure]:
        """Adds a learner, promotes or removes a member.

        Args:
            action: One of add, promote, remove.
            member_id: ID of the member.
            timeout_s: Timeout in seconds; after it the outcome may be unknown.
        """
        body = {"action": action, "member": member_id}
        return await self._call_leader(topic=CHANGE_TOPIC, body=body, timeout_s=timeout_s)

    def handle_list(self, _: Any) -> dict[str, Any]:
        """Handles a call of another daemon that lists the members."""
        member = self.member
        if member is None or not member.is_leader:
            return _not_leader(member)
        return {"found": {"leader": member.member_id, "members": _describe_members(member, now=self.clock())}}

    async def handle_change(self, body: Any) -> dict[str, Any]:
        """Handles a change that another daemon forwards."""
        member = self.member
        if member is None or not member.is_leader:
            return _not_leader(member)
        change = _CHANGE_TYPES[body["action"]](member_id=_resolve_member_id(member, name=body["member"]))
        return await _change(member, change=change)

    async def _call_leader(self, *, topic: str, body: Any, timeout_s: float) -> Result[Any, Failure]:
        deadline = self.clock() + timeout_s
        leader_hint, attempt, is_uncertain = "", 0, False
        while self.clock() < deadline:
            target = leader_hint or self._known_leader() or self.daemons[attempt % len(self.daemons)]
            attempt += 1
            answer: dict[str, Any] = {}
            try:
                answer = await self._call(target, topic=topic, body=body)
            except PeerUnreachableError:
                is_uncertain = True
            if "found" in answer:
                return Ok(answer["found"])
            failure = answer.get("failure", {})
            if (
                is_uncertain
                and body.get("action") == "remove"
                and failure.get("code") == ResultCode.UNKNOWN_MEMBER
            ):
                # An earlier attempt removed the member and its answer was lost.
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
            leader_hint = answer.get("leader", "") if answer.get("leader") != target else ""
            if not leader_hint:
                await asyncio.sleep(RETRY_S)
        code = ResultCode.OUTCOME_UNKNOWN if is_uncertain and topic == CHANGE_TOPIC else ResultCode.NO_QUORUM
        work = WorkState.MAY_HAVE_RUN if code is ResultCode.OUTCOME_UNKNOWN else WorkState.NOT_RUN
        return Error(Failure(code=code, message="no leader answered in time", work=work, retry_after_s=1.0))

    async def _call(self, target: str, *, topic: str, body: Any) -> dict[str, Any]:
        if target == self.own_name:
            # Encoded and decoded like the answer of another daemon, so that failures have the same form.
            own = self.handle_list(body) if topic == LIST_TOPIC else await self.handle_change(body)
            raw = to_json(own, inf_nan_mode="null")
        else:
            client = self.peers.client(target)
            raw = await client.exchange(topic=topic, data=to_json(body), timeout_s=CALL_TIMEOUT_S)
        found: dict[str, Any] = from_json(raw)
        return found

    def _known_leader(self) -> str:
        return self.member.leader_daemon if self.member is not None else ""

    async def _fetch_member_id(self, daemon: str) -> str:
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


def _resolve_member_id(member: Member, *, name: str) -> str:
    found = [item for item in member.configuration.members if name in (item, daemon_of(item))]
    return found[0] if found else name


def _describe_members(member: Member, *, now: float) -> list[dict[str, Any]]:
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


def _unknown_member(message: str) -> Failure:
    return Failure(code=ResultCode.UNKNOWN_MEMBER, message=message)


def _not_leader(member: Member | None) -> dict[str, Any]:
    failure = Failure(code=ResultCode.NOT_LEADER, message="this daemon is not the leader")
    return {"failure": failure, "leader": member.leader_daemon if member else ""}


__all__ = ["CHANGE_TOPIC", "LIST_TOPIC", "STATUS_TOPIC", "MembershipManager"]
