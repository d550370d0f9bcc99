"""Commits the end of a VM's boot, and its replacement by another boot under the same ID."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.workflow import Capacity, EndRuns, RegisterVm, RemoveVm, RunOutcome

from .leadership import LeadershipLostError
from .lost_runs import LostRuns
from .run_ends import make_run_ends
from .worker_calls import OtherBootError, WorkerUnreachableError

if TYPE_CHECKING:
    from collections.abc import Collection

    from hyssopway.workflow import VmRecord

    from .poll_reply import PollReply
    from .vm_link import VmLink

CONFIRM_TIMEOUT_S = 0.35


class VmBoots:
    """Ends and replaces boots of one VM.

    Attributes:
        link: Leader's connection to the VM.
        change: Held while another boot replaces the one in the record.
        is_confirming: Whether the VM is being asked which boot it is.
    """

    __slots__ = ("change", "is_confirming", "link")

    def __init__(self, *, link: VmLink) -> None:
        self.link = link
        self.change = asyncio.Lock()
        self.is_confirming = False

    async def end(self, *, reason: str) -> None:
        """Commits that the boot of the VM has ended, and with it all its runs."""
        record = self.link.record
        if record is not None:
            await self._end(record, reason=reason, lost=self.find_lost_runs(record))

    async def confirm(self) -> None:
        """Asks the VM at once which boot it is, and registers that boot if it is another one than in the record.

        The poll in progress may have been sent to the boot before, and end with its timeout only. The leader may have ended by
        then, and the next one would know nothing of the restart.
        """
        record = self.link.record
        if record is None or self.is_confirming:
            return
        self.is_confirming = True
        try:
            reply = await self.link.calls.poll(
                vm=record,
                fencing_token=self.link.fence.token,
                last_end=0,
                lease_until_ms=None,
                wait_ms=0,
                may_send=self.link.leadership.may_order,
                timeout_s=CONFIRM_TIMEOUT_S,
            )
            if reply.boot != record.boot:
                await self.register(record, reply=reply)
        except (WorkerUnreachableError, OtherBootError, LeadershipLostError):
            return  # the next poll tells
        finally:
            self.is_confirming = False

    async def remove_departed(self, record: VmRecord) -> None:
        """Ends the runs of a VM that has departed, and removes its record."""
        await self.end(reason="it announced its departure and refuses connections")
        await self.link.leadership.propose(RemoveVm(vm=self.link.vm_id, boot=record.boot, at_ms=wall_ms()))

    async def replace(
        self, command: RegisterVm, *, replaced_boot: int, reported: Collection[str] = ()
    ) -> None:
        """Commits that another boot of the VM, which has the same ID, has replaced the one in the record.

        An order names the ID only. A start that was sent to the earlier boot may reach the later one. So a run that the
        earlier boot did not list, or of which any copy of the start got no answer, stays in progress, and is resolved by what
        the later boot lists.

        Args:
            command: What is known of the later boot.
            replaced_boot: Number of the earlier boot, which was in the record when the later one was noticed.
            reported: Keys of the runs that the later boot has listed as running or ended.
        """
        # An announcement and the answer to a poll may tell of the same boot, which has to count as one end of the earlier one.
        async with self.change:
            # A boot in between may have been registered meanwhile.
            record = self.link.record
            if record is not None and (record.boot == replaced_boot or record.boot < command.boot):
                await self._replace(record, command, reported=reported)
            elif command.sequence:
                await self.link.leadership.propose(command)

    async def _replace(self, record: VmRecord, command: RegisterVm, *, reported: Collection[str]) -> None:
        lost = self.find_lost_runs(record, is_replaced=True, reported=reported)
        next_boot = self.link.orders.next_boot
        next_boot.record_former_leader(ended_at=self.link.leadership.started_at)
        if lost.in_doubt:
            next_boot.record_loss()
        await self._end(record, reason=f"boot {command.boot} follows {record.boot}", lost=lost)
        await self.link.leadership.propose(
            replace(command, replaced_boot=record.boot, kept_runs=tuple(sorted(lost.in_doubt)))
        )
        self.link.orders.stop_late_starts()

    async def _end(self, record: VmRecord, *, reason: str, lost: LostRuns) -> None:
        log_event(Event.VM_GONE, vm=self.link.vm_id, reason=reason)
        self.link.discard_boot()
        if not lost.keys and not lost.in_doubt:
            return
        lost.report(reason=reason, counters=self.link.counters)
        lost.report_evidence()
        await self.link.leadership.propose(
            EndRuns(
                vm=self.link.vm_id,
                boot=record.boot,
                ends=tuple(make_run_ends(record.runs - lost.in_doubt, RunOutcome.LOST)),
                at_ms=wall_ms(),
                boot_ended=True,
                lost_at_work=tuple(sorted(lost.at_work)),
                just_started=tuple(sorted(lost.just_started)),
                unconfirmed=tuple(sorted(lost.unconfirmed)),
                holds_back=True,
            )
        )
        lost.report_suspects(self.link.leadership.state.tables, counters=self.link.counters)
        self.link.on_change()

    def find_lost_runs(
        self, record: VmRecord, *, is_replaced: bool = False, reported: Collection[str] = ()
    ) -> LostRuns:
        """Returns the runs of the boot in the record, by what this leader knows of them.

        Args:
            record: Record of the VM.
            is_replaced: Whether another boot of the VM follows under the same ID.
            reported: Keys of the runs that the later boot has listed as running or ended.
        """
        is_known = self.link.boot == record.boot
        return LostRuns(
            record,
            listed=set(self.link.listed_runs) if is_known else set(),
            order_states=self.link.orders.order_states if is_known else {},
            listing_sent_at=self.link.listing_sent_at if is_known else float("-inf"),
            unreachable_since=self.link.orders.unreachable_since if is_known else float("inf"),
            is_replaced=is_replaced,
            moved=[run.key for run in self.link.orders.late_starts.list_runs() if run.is_moved],
            late_starts=self.link.orders.late_starts.list_possible().union(reported),
            ends_with_rack=is_known
            and self.link.orders.losses.is_shared_by_rack(
                self.link.vm_id,
                at=self.link.orders.unreachable_since,
                vms=self.link.leadership.state.tables.vms,
            ),
        )

    async def register(self, record: VmRecord, *, reply: PollReply) -> None:
        """Replaces the boot in the record by the one that has answered a poll."""
        # A lower number counts as well, since the VM itself answered with it: its clock was set back, or another writer
        # announced a boot in the future.
        await self.replace(
            RegisterVm(
                vm=record.vm_id,
                boot=reply.boot,
                address=record.address,
                pool=record.pool,
                zone=record.zone,
                labels=record.labels,
                capacity=Capacity(),  # it may be of another kind; its announcement says so
                draining=False,
                at_ms=wall_ms(),
            ),
            replaced_boot=record.boot,
            reported=[f"{row.task}/{row.run}" for row in reply.running] + reply.list_ends(),
        )
        self.link.on_change()


__all__ = ["VmBoots"]
