"""A node with a disk: a member of the Raft group that runs all control work of the deployment while it leads."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.agreement import (
    Configuration,
    Member,
    Store,
    Timers,
    daemon_of,
    run_elections,
    run_replication,
)
from hyssopway.clock import monotonic_s
from hyssopway.dispatch import Leadership, LeadershipLostError
from hyssopway.event import Event, log_event
from hyssopway.http.request_memory import RequestMemory
from hyssopway.peer import PeerServer, PeerUnreachableError
from hyssopway.relay import (
    JOIN,
    LEADER,
    PEER_TOKEN,
    RELAY,
    STOPPING,
    SUPPORTED_VERSION,
    LeaderFinder,
    Relay,
    RelayedReply,
    RelayedRequest,
    UnansweredError,
    supervise,
)
from hyssopway.workflow import CURRENT_VERSION, WorkflowState

from .control_handlers import ControlHandlers
from .member_directory import MemberDirectory
from .membership_manager import MembershipManager
from .state_version_manager import StateVersionManager

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hyssopway.dispatch import LeaderController
    from hyssopway.relay import DocumentLimits
    from hyssopway.workflow import FleetDocument

    from .node_settings import NodeSettings
    from .request_service import RequestService

LEADERSHIP_CHECK_INTERVAL_S = 0.02
JOIN_INTERVAL_S = 0.5
OVERLOAD_RETRY_AFTER_S = 1
JOIN_TIMEOUT_S = 0.8
VERSION_QUERY_TIMEOUT_S = 0.4
ASSUME_REMOVED_AFTER_S = 2.0
STOP_NOTICE_TIMEOUT_S = 0.3
SNAPSHOT_ENTRIES = 5000
# Control nodes of a deployment are about a millisecond apart, which allows short timeouts. The shortest election
# timeout must stay above the age of a confirmation up to which a leader may send orders (`dispatch.leadership`).
TIMERS = Timers(heartbeat_s=0.08, election_min_s=0.45, election_max_s=0.8)


class ControlNode:
    """Runs the member, the work of the leader and the server for other nodes.

    Attributes:
        settings: Settings of the node.
        directory: Clients of the other nodes.
        state: Replicated state.
        member: Member of this node.
        finder: Finds the current leader.
        relay: Forwards requests to the leader.
        state_version_manager: Raises the version of the replicated state while this node leads.
        membership_manager: Changes the members of the group while this node leads.
        service: Handles requests while this node leads.
        new_controller: Creates the leader controller of a term.
        read_limits: Returns the limits on requests that a document sets; None if it sets none.
        memory: Bounds the bytes of the requests that other nodes relay to this one.
        told_limits: Version of the document that was read last, and its limits.
        controller: Runs the work of the leader in the current term; None while this node does not lead.
        peer_server: Server for calls of other nodes.
        tasks: Background tasks.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        service: RequestService,
        new_controller: Callable[[Leadership], LeaderController],
        supported_version: int = CURRENT_VERSION,
        read_limits: Callable[[FleetDocument], DocumentLimits] | None = None,
        memory: RequestMemory | None = None,
    ) -> None:
        if settings.data_dir is None:
            raise ValueError("a control node requires data_dir")
        self.settings = settings
        self.service = service
        self.new_controller = new_controller
        self.read_limits = read_limits
        self.memory = RequestMemory() if memory is None else memory
        self.told_limits: tuple[int, dict[str, int]] = (-1, {})
        self.directory = MemberDirectory(own_name=settings.host, peer_port=settings.peer_port)
        self.state = WorkflowState(supported_version=supported_version, clock=monotonic_s)
        self.member = Member(
            daemon=settings.host,
            store=Store(folder=settings.data_dir),
            state_machine=self.state,
            clock=monotonic_s,
            timers=TIMERS,
            snapshot_entries=SNAPSHOT_ENTRIES,
            supported_version=supported_version,
            started_at=settings.started_at,
        )
        self.finder = LeaderFinder(
            directory=self.directory, seed_hosts=settings.seed_hosts, clock=monotonic_s
        )
        self.relay = Relay(finder=self.finder)
        self.state_version_manager = StateVersionManager(member=self.member, state=self.state)
        self.membership_manager = MembershipManager(
            member=self.member,
            versions=self.state_version_manager,
            tolerated_losses=settings.tolerated_losses,
        )
        self.controller: LeaderController | None = None
        handlers = ControlHandlers(
            member=self.member,
            exchange_handlers={
                RELAY: self._handle_relayed,
                LEADER: self._handle_leader_query,
                JOIN: self._handle_join,
                STOPPING: self._handle_stop_notice,
                SUPPORTED_VERSION: self._handle_version_query,
            },
        )
        self.peer_server = PeerServer(handlers=handlers, token=PEER_TOKEN)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Opens durable state, starts the server for other nodes and starts all background tasks."""
        initial = None
        if self.settings.is_first_start and self.settings.host in self.settings.seed_hosts:
            voters = tuple(f"{host}/0" for host in sorted(self.settings.seed_hosts))
            initial = Configuration(voters=voters)
        self.member.open(initial=None if self.member.store.is_initialised else initial)
        await self.peer_server.open(host=self.settings.host, port=self.settings.peer_port)
        member, rng = self.member, random.Random()
        loops = {
            "sync_log": member.sync_own_log,
            "apply": member.apply_committed,
            "elections": lambda: run_elections(member=member, transport=self.directory, rng=rng),
            "replication": lambda: run_replication(member=member, transport=self.directory),
            "group": self.membership_manager.run,
            "state_version": self.state_version_manager.run,
            "join": self._join_group,
            "lead": self._run_leadership,
            "finder": self.finder.run,
        }
        self.tasks = [asyncio.create_task(supervise(name, loop), name=name) for name, loop in loops.items()]

    async def resign_leadership(self) -> None:
        """Steps down if this node leads, and notifies the other voters so that they elect a leader at once."""
        member = self.member
        if not member.is_leader:
            return
        member.suspend_candidacy()
        member.step_down(reason="the node is stopping")
        others = [daemon_of(voter) for voter in member.configuration.voters if voter != member.member_id]
        await asyncio.gather(*(self._send_stop_notice(other) for other in others))

    async def stop(self) -> None:
        """Stops all background tasks and closes durable state."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peer_server.close()
        self.directory.close()
        await self.member.stop()

    def read_gauges(self) -> dict[str, float]:
        """Returns the current gauge values for metrics and dumps."""
        member, tables = self.member, self.state.tables
        controller = self.controller
        now = member.clock()
        links = controller.links.values() if controller is not None else ()
        return {
            "leads": float(controller is not None),
            "term": member.term,
            "commit_index": member.commit_index,
            "applied_index": member.applied_index,
            "voters": len(member.configuration.voters),
            "learners": len(member.configuration.learners),
            "halted": float(member.is_halted),
            "state_version": tables.version,
            "unsupported_members": len(self.membership_manager.unsupported),
            "vms": len(tables.vms),
            "vms_in_contact": sum(link.in_contact(now) for link in links),
            "workflows": len(tables.workflows),
            "open_workflows": len(self.state.indexes.open_workflows),
            "runs": sum(len(runs) for runs in tables.runs.values()),
            "waiting_cores": sum(controller.dispatcher.waiting_millis.values()) / 1000 if controller else 0.0,
            "document_version": tables.document.version if tables.document is not None else 0,
            **(controller.counters if controller is not None else {}),
        }

    async def answer(self, request: RelayedRequest) -> RelayedReply:
        """Handles a request if this node leads; otherwise returns status 0 and the leader, if known."""
        controller = self.controller
        if controller is None:
            return RelayedReply.redirect(leader=self.member.leader_daemon)
        try:
            await controller.leadership.confirm()
            return await self.service.answer(request=request, controller=controller)
        except LeadershipLostError as error:
            log_event(Event.DECISIONS_STOPPED, term=controller.leadership.term, reason=str(error))
            return RelayedReply.redirect(leader=self.member.leader_daemon, may_have_run=error.may_take_effect)
        except Exception as error:
            log_event(Event.HTTP_HANDLER_FAILED, method=request.method, path=request.path, error=repr(error))
            return RelayedReply(status=500)

    async def serve(
        self,
        request: RelayedRequest,
        *,
        timeout_s: float,
        confirm: Callable[[], Awaitable[bool]] | None = None,
    ) -> RelayedReply:
        """Handles a request that arrived at this node, or forwards it to the leader.

        Args:
            request: The request.
            timeout_s: Time in seconds within which a leader must respond.
            confirm: Returns whether the caller still waits.

        Raises:
            UnansweredError: No leader answered in time, or the caller no longer waits.
        """
        may_have_run = False
        if self.controller is not None:
            reply = await self.answer(request)
            if reply.confirm_token and confirm is not None and await confirm():
                reply = await self.answer(replace(request, confirm_token=reply.confirm_token))
            if reply.confirm_token:
                raise UnansweredError("the caller no longer waits", may_have_run=False)
            if reply.status:
                return reply
            may_have_run = reply.may_have_run
        return await self.relay.send(request, timeout_s=timeout_s, confirm=confirm, may_have_run=may_have_run)

    async def _run_leadership(self) -> None:
        member = self.member
        while True:
            await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
            if not member.is_leader or member.applied_index < member.term_start_index:
                continue
            leadership = Leadership(member=member, state=self.state, clock=monotonic_s)
            tables = self.state.tables
            log_event(
                Event.DECISIONS_STARTED,
                term=leadership.term,
                workflows=len(tables.workflows),
                vms=len(tables.vms),
            )
            self.controller = self.new_controller(leadership)
            try:
                await self.controller.run()
            finally:
                self.controller = None

    async def _join_group(self) -> None:
        """Requests to join whenever this member is not part of the group."""
        while True:
            member = self.member
            # A member that was removed while it was down still has its old configuration but hears no leader.
            is_probably_removed = (
                not member.is_leader and member.clock() - member.heard_at > ASSUME_REMOVED_AFTER_S
            )
            if is_probably_removed or member.member_id not in member.configuration.members:
                await self._request_join()
            await asyncio.sleep(JOIN_INTERVAL_S)

    async def _request_join(self) -> None:
        leader = self.finder.leader
        if not leader or leader == self.settings.host:
            return
        try:
            await self.directory.client(leader).exchange(
                topic=JOIN, data=self.member.member_id.encode(), timeout_s=JOIN_TIMEOUT_S
            )
        except PeerUnreachableError as error:
            log_event(Event.LEADER_MISSING, reason=f"cannot send a join request: {error}")

    async def _handle_relayed(self, data: bytes) -> bytes:
        """Handles a relayed request; each node bounds what it relays, and this one the sum over all nodes."""
        if not self.memory.begin(len(data)):
            return RelayedReply(status=503, headers={"Retry-After": str(OVERLOAD_RETRY_AFTER_S)}).encode()
        try:
            return (await self.answer(RelayedRequest.decode(data))).encode()
        finally:
            self.memory.end(len(data))

    async def _handle_leader_query(self, data: bytes) -> bytes:
        members = sorted({daemon_of(member) for member in self.member.configuration.members})
        leads = self.controller is not None and self.controller.leadership.may_order()
        answer = {
            "leads": leads,
            "leader": self.member.leader_daemon,
            "members": members,
            "limits": self._list_limits(),
        }
        return json.dumps(answer).encode()

    def _list_limits(self) -> dict[str, int]:
        """Returns the limits of the document in force; empty without one."""
        document = self.state.tables.document
        if document is None or self.read_limits is None:
            return {}
        if self.told_limits[0] != document.version:
            self.told_limits = (document.version, self.read_limits(document).encode())
        return self.told_limits[1]

    async def _send_stop_notice(self, host: str) -> None:
        data = self.member.member_id.encode()
        try:
            await self.directory.client(host).exchange(
                topic=STOPPING, data=data, timeout_s=STOP_NOTICE_TIMEOUT_S
            )
        except PeerUnreachableError as error:
            log_event(Event.LEADER_MISSING, reason=f"cannot send a stop notice: {error}")

    async def _handle_stop_notice(self, data: bytes) -> bytes:
        """Handles the stop notice of a leader by suspecting it at once, without waiting for `doubt_s`."""
        if self.member.leader_id == data.decode():
            self.member.leader_id = ""
            self.member.heard_at = float("-inf")
            self.member.leader_suspicion.start()
        return b""

    async def _handle_join(self, data: bytes) -> bytes:
        member_id = data.decode()
        if self.member.is_leader:
            version = await self._query_supported_version(daemon_of(member_id))
            self.membership_manager.record_join_request(member_id, supported_version=version)
        return b""

    async def _query_supported_version(self, host: str) -> int | None:
        """Returns the highest version of the state that a node supports, or None while every node supports it."""
        if not self.state_version_manager.required_version:
            return None
        try:
            answer = await self.directory.client(host).exchange(
                topic=SUPPORTED_VERSION, data=b"", timeout_s=VERSION_QUERY_TIMEOUT_S
            )
            return int(answer)
        except (PeerUnreachableError, ValueError):
            return 0  # a release that has no versions does not know the topic

    async def _handle_version_query(self, _: bytes) -> bytes:
        return str(self.member.supported_version).encode()


__all__ = ["ControlNode"]
