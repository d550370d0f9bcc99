"""Fakes of a leader and its VMs without a network."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from hyssopway.dispatch import (
    LeadershipLostError,
    ListedRun,
    OrderReply,
    PlatformLimits,
    PollReply,
    WorkerUnreachableError,
)
from hyssopway.dispatch.duration_scale import DurationScale
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.dispatch.poll_rate_limiter import PollRateLimiter
from hyssopway.dispatch.rtt_estimator import RttEstimator
from hyssopway.dispatch.ticket_cache import TicketCache
from hyssopway.dispatch.vm_link import VmLink
from hyssopway.scheduling.interference import InterferenceModel
from hyssopway.workflow import (
    CURRENT_VERSION,
    PutDocument,
    SetStateVersion,
    WorkflowState,
    encode_command,
)
from workflow.conftest import make_document, make_vm, make_workflow

LIMITS = PlatformLimits(
    longest_lease_s=10.0,
    stop_s=0.4,
    machine_lease_s=3.0,
    maintenance_s=2.0,
    move_s=1.5,
    machine_orders_per_s=16.0,
    pacing_s=0.1,
    status_s=120.0,
)


class FakeLeadership:
    """Term of a leader whose commands are applied at once, or later than the leader waits for them.

    Attributes:
        confirms: Whether commands are applied at once.
        unconfirmed: Commands that were not confirmed in time, in the order of the log.
    """

    def __init__(self, *, version=CURRENT_VERSION):
        self.state = WorkflowState(clock=self.clock)
        self.term = 3
        self.now = 100.0
        self.started_at = 100.0
        self.holds = True
        self.is_confirmed = True
        self.confirms = True
        self.unconfirmed = []
        self.apply(SetStateVersion(version=version))

    def clock(self):
        return self.now

    def begin_long_ago(self):
        """Starts the term so long ago that no order of a leader before can be on its way."""
        self.started_at = self.now - MAX_ORDER_DELAY_S - 1.0

    def may_order(self):
        return self.is_confirmed

    async def propose(self, command):
        if not self.confirms:
            self.unconfirmed.append(command)
            raise LeadershipLostError("the change was not confirmed in time", may_take_effect=True)
        self.apply(command)

    def apply(self, command):
        self.state.apply(index=self.state.applied_index + 1, data=encode_command(command))

    def apply_unconfirmed(self):
        """Applies the commands that were confirmed too late, and confirms all others at once from now on."""
        self.confirms = True
        while self.unconfirmed:
            self.apply(self.unconfirmed.pop(0))

    async def wait_until_applied(self):
        while self.holds:
            if not self.unconfirmed:
                return
            await asyncio.sleep(0.001)
        raise LeadershipLostError("the term has ended")


class FakeVms:
    """Fake worker VMs that can be silent or lose calls.

    Attributes:
        lose: Number of the next calls that get no answer.
        timeouts: Timeout of each call, in seconds.
    """

    def __init__(self, leadership):
        self.leadership = leadership
        self.silent = False
        self.lose = 0
        self.timeouts = []
        self.boot = 1
        self.running = {}
        self.ends = []
        self.leases = []
        self.orders = []

    @property
    def clock_ms(self):
        return round(self.leadership.now * 1000)

    def _answer(self, timeout_s):
        self.timeouts.append(timeout_s)
        self.lose -= 1
        if self.silent or self.lose >= 0:
            raise WorkerUnreachableError("silent")

    async def poll(self, *, vm, fencing_token, last_end, lease_until_ms, wait_ms, may_send, timeout_s):
        self.leases.append(lease_until_ms)
        self._answer(timeout_s)
        rows = tuple(
            ListedRun(task, run, "", 100, 0) for (task, run), name in self.running.items() if name == vm.vm_id
        )
        return PollReply(
            clock_ms=self.clock_ms,
            boot=self.boot,
            running=rows,
            ends=tuple(end for end in self.ends if end.number > last_end),
            is_complete=True,
        )

    async def start(self, *, vm, task, run, timeout_s, **_):
        self.orders.append(("start", task, run))
        self._answer(timeout_s)
        self.running[task, run] = vm.vm_id
        return OrderReply(clock_ms=self.clock_ms)

    async def stop(self, *, vm, task, run, fencing_token, may_send, timeout_s):
        self.orders.append(("stop", task, run))
        self._answer(timeout_s)
        return OrderReply(clock_ms=self.clock_ms)


def make_link(vm_id, *, leadership, calls, late_starts=None, losses=None):
    return VmLink(
        vm_id=vm_id,
        leadership=leadership,
        calls=calls,
        limits=LIMITS,
        scale=DurationScale(),
        poll_limiter=PollRateLimiter(),
        rtt_estimator=RttEstimator(),
        interference=InterferenceModel(),
        tickets=TicketCache(clock=leadership.clock),
        on_change=lambda: None,
        late_starts=late_starts,
        losses=losses,
    )


@pytest.fixture
def leadership():
    return FakeLeadership()


@pytest.fixture
def vms(leadership):
    return FakeVms(leadership)


@pytest.fixture
async def fleet(leadership):
    await leadership.propose(PutDocument(document=make_document()))
    await leadership.propose(make_vm("vm-1"))
    await leadership.propose(make_workflow("w"))
    return leadership


@pytest.fixture
def silent_log():
    """Disables the log, which would take most of the time of tests that play many sequences."""
    logger.disable("hyssopway")
    yield
    logger.enable("hyssopway")
