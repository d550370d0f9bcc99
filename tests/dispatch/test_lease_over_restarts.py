"""Leases and acknowledgements that were given on the clock, or by the count, of an earlier boot of a VM.

A VM that restarts under its ID starts its clock and the numbers of its ends anew. A lease that ends at a time on the earlier
clock gives the next boot the longest lease, since that time lies far ahead of the new clock.
"""

from __future__ import annotations

from contextlib import contextmanager

import pytest

from dispatch.conftest import LIMITS
from dispatch.test_order_protocol import VMS, OrderProtocol
from hyssopway.dispatch.lease import RUN_LEASE_S, lease_expiry
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.workflow import RunOutcome, Step

pytestmark = pytest.mark.usefixtures("silent_log")
# Long enough that a run which shows no progress is not taken for a stalled one.
TASK_MS = 600_000
STEP_S = 0.5
CUT_S = 9.0
# Shorter than the usual lease.
LEASED_CUT_S = 3.5
# A run that a boot has listed for longer than the longest lease can't have been started by a later one.
LISTED_S = LIMITS.longest_lease_s + 2.0
FINE_STEP_S = 0.1
REPEATED_S = 4.5


class LongUptime(OrderProtocol):
    """A workflow of one long task on two VMs that have been up for long; nothing has been started."""

    steps = (Step(count=1, estimate_ms=TASK_MS),)

    def __init__(self):
        super().__init__()
        # The term has lasted for so long that no call of a former leader can be on its way.
        self.advance(MAX_ORDER_DELAY_S + STEP_S)
        self.poll(VMS, "deliver")

    def begin(self):
        """Leaves the start to the test."""

    @property
    def run_of_task(self):
        """VM and number of the run of the first task; None if there is none."""
        runs = self.leader.state.tables.runs.get("w.0.0.0", ())
        return next(((run.vm, run.run) for run in runs), None)


class TwoSteps(LongUptime):
    """A workflow of two tasks and a third one that waits for both."""

    steps = OrderProtocol.steps


class LongRunning(LongUptime):
    """A workflow of one long-running task, whose start is repeated."""

    steps = (Step(count=1, long_running=True),)


@pytest.fixture
def long_running():
    built = LongRunning()
    yield built
    built.teardown()


@pytest.fixture
def model():
    built = LongUptime()
    yield built
    built.teardown()


@pytest.fixture
def two_steps():
    built = TwoSteps()
    yield built
    built.teardown()


def start(model):
    model.run_round("deliver", "vm-1")
    assert model.workers["vm-1"].live


def place(model):
    """Places the tasks that wait, on the first VM if it may get one."""
    model.run_round("deliver", "vm-1")
    assert any(worker.live for worker in model.workers.values())


def start_with_late_copy(model):
    """The first copy of the start is delayed, and the second one answered."""
    model.run_round("delay_first", "vm-1")
    assert model.workers["vm-1"].live
    assert model.network.delayed


def start_reaches_next_boot(model):
    model.run_round("restart", "vm-1")
    assert model.workers["vm-1"].live


def start_reaches_next_boot_unanswered(model):
    model.run_round("restart_mute", "vm-1")
    assert model.workers["vm-1"].live


def next_boot_has_no_room(model):
    """The start reaches the next boot, which refuses it and takes its lease; then there is room again."""
    model.workers["vm-1"].capacity = 0
    model.run_round("restart", "vm-1")
    assert not model.workers["vm-1"].live
    model.workers["vm-1"].capacity = None


def restart(model):
    model.restart_vm("vm-1")


def announce(model):
    model.announce("vm-1")
    model.run_pending_tasks()


def poll(model):
    model.poll(("vm-1",), "deliver")


def poll_is_late(model):
    model.poll(("vm-1",), "delay")


def poll_reaches_next_boot_unanswered(model):
    """The VM restarts right before a poll arrives, which renews the lease; the answer is lost."""
    model.poll(("vm-1",), "restart_mute")


def start_is_late(model):
    """All copies of the start are delayed."""
    model.run_round("delay", "vm-1")
    assert model.network.delayed


def run_fails(model):
    model.finish("vm-1", RunOutcome.FAILED)


def runs_are_done(model):
    for name in VMS:
        while model.workers[name].live:
            model.finish(name, RunOutcome.DONE)


def late_calls_arrive(model):
    assert model.network.delayed
    model.deliver_delayed()


def take_down(model):
    """The VM ends and refuses connections from then on."""
    model.workers["vm-1"].restart()
    model.network.down.add("vm-1")


def change_leader(model):
    model.change_leader()


def pass_time(model):
    model.advance(STEP_S)


def cut_vm(model):
    """Polls of the first VM are lost, while the second one is polled and gets the tasks that wait."""
    model.advance(STEP_S)
    model.poll(("vm-1",), "lose")
    model.poll(("vm-2",), "deliver")
    model.run_round("deliver", "vm-2")


def poll_and_place(model):
    model.advance(STEP_S)
    model.poll(VMS, "deliver")
    model.run_round("deliver", "vm-2")


CUT = (cut_vm,) * int(CUT_S / STEP_S)
ON_NEXT_BOOT = (restart, announce, poll)
ORDERS = {
    "a start reaches the next boot, two polls notice it": (start_reaches_next_boot, poll, poll),
    "a start reaches the next boot, nothing else is heard": (start_reaches_next_boot,),
    "a start reaches the next boot, its answer is lost": (start_reaches_next_boot_unanswered,),
    "a start reaches the next boot, the leader changes": (start_reaches_next_boot, change_leader),
    "a start reaches the next boot, its answer is lost, the leader changes": (
        start_reaches_next_boot_unanswered,
        change_leader,
    ),
    "a start reaches the next boot, two polls notice it, the leader changes": (
        *(start_reaches_next_boot, poll, poll),
        change_leader,
    ),
    "a start reaches the next boot, two polls notice it, the next leader has two answers": (
        *(start_reaches_next_boot, poll, poll),
        *(change_leader, poll, poll),
    ),
    "a late poll renews the lease of the next boot": (
        poll_is_late,
        *ON_NEXT_BOOT,
        *(start, late_calls_arrive),
    ),
    "a late copy of an answered start is refused by the next boot": (
        *(start_with_late_copy, run_fails, poll),
        *ON_NEXT_BOOT,
        *(start, late_calls_arrive),
    ),
    "a late poll renews the lease of the next boot before it announces itself": (
        *(poll_is_late, restart, late_calls_arrive),
        *(announce, poll, start),
    ),
    "a late poll of the former leader renews the lease of the next boot": (
        *(poll_is_late, restart, change_leader, late_calls_arrive),
        *(announce, poll, start),
    ),
    "a poll reaches the next boot, its answer is lost": (
        *(poll_reaches_next_boot_unanswered, announce, poll),
        start,
    ),
    "a poll reaches the next boot and is answered, the leader changes": (
        *(restart, poll, poll, start),
        change_leader,
    ),
    "a late start reaches the next boot during the cut": (
        *(start_is_late, restart, announce),
        *(cut_vm,) * int(CUT_S / STEP_S),
        late_calls_arrive,
    ),
    "a late start reaches the next boot during the cut, the leader has changed": (
        *(start_is_late, restart, announce, change_leader),
        *(cut_vm,) * int(LEASED_CUT_S / STEP_S),
        late_calls_arrive,
    ),
    "a late copy of a listed run reaches the next boot, nothing else is heard": (
        *(start_with_late_copy, poll, restart),
        late_calls_arrive,
    ),
    "a late copy of an answered start reaches the next boot, nothing else is heard": (
        *(start_with_late_copy, restart),
        late_calls_arrive,
    ),
    "a late poll reaches the next boot during the cut, which has answered a start": (
        *(poll_is_late, poll, start_reaches_next_boot),
        *(cut_vm,) * int(LEASED_CUT_S / STEP_S),
        late_calls_arrive,
    ),
    "a late poll during the cut reaches the next boot, which has answered a start": (
        *(start_reaches_next_boot, poll_is_late),
        *(cut_vm,) * int(LEASED_CUT_S / STEP_S),
        late_calls_arrive,
    ),
    "a late start reaches the next boot during the cut, nothing else is heard": (
        *(start_is_late, restart),
        *(cut_vm,) * int(LEASED_CUT_S / STEP_S),
        late_calls_arrive,
    ),
    "a late start of the former leader reaches the next boot during the cut, nothing else is heard": (
        *(start_is_late, restart, change_leader),
        *(cut_vm,) * int(LEASED_CUT_S / STEP_S),
        late_calls_arrive,
    ),
    "a late copy of the former leader reaches the next boot, the next leader has listed the run": (
        *(start_with_late_copy, poll, change_leader, poll, restart),
        late_calls_arrive,
    ),
    "the next boot refuses a start for want of room": (
        *(next_boot_has_no_room, announce, poll),
        start,
    ),
}
ACKNOWLEDGED_ENDS = (start, runs_are_done, poll, poll_is_late, *ON_NEXT_BOOT, place, runs_are_done)


def play(model, events):
    """Plays events and checks the rules after each."""
    with naming_events(events):
        for event in events:
            event(model)
            model.check()


@contextmanager
def naming_events(events):
    try:
        yield
    except AssertionError as error:
        error.add_note("events: " + ", ".join(event.__name__ for event in events))
        raise


@pytest.mark.parametrize("order", ORDERS)
def test_vm_that_restarted_and_is_cut_off_ends_its_run_before_the_next_one_starts(model, order):
    """Guards against a second run of a task while its VM works on the first by a lease on the clock before (TWICE)."""
    play(model, (*ORDERS[order], *CUT))


@pytest.mark.parametrize("is_carried_out", [True, False], ids=["late poll", "no late poll"])
def test_late_acknowledgement_does_not_make_the_next_boot_forget_an_end(two_steps, is_carried_out):
    """Guards against a task that runs again after it is done: a late poll acknowledged its end unread (TWICE).

    Without the late poll, the same events show that the end is read.
    """
    late_calls = (late_calls_arrive,) if is_carried_out else ()
    play(two_steps, (*ACKNOWLEDGED_ENDS, *late_calls, poll, pass_time, poll, *(poll_and_place,) * 4))
    assert two_steps.workflow.status.is_final


def test_end_soon_after_a_restart_is_read_before_it_is_acknowledged(two_steps):
    """Guards against the same by a poll that follows at once: the VM restarted, and a run ended there, since the last answer."""
    before = (start, runs_are_done, poll, start_reaches_next_boot, runs_are_done)
    play(two_steps, (*before, poll, poll, pass_time, poll, *(poll_and_place,) * 4))
    assert two_steps.workflow.status.is_final


def no_event(model):
    """Nothing happens."""


@pytest.mark.parametrize(
    "events",
    [(no_event,), (change_leader,), (change_leader, poll, poll)],
    ids=["same leader", "next leader without an answer", "next leader with two answers"],
)
def test_run_that_its_boot_has_listed_for_long_is_free_after_the_usual_lease(model, monkeypatch, events):
    """Guards against tasks that wait for the longest lease although their VM has certainly not restarted."""
    play(model, (start, *(poll_and_place,) * int(LISTED_S / STEP_S)))
    assert model.run_of_task == ("vm-1", 1)
    renewals = record_renewals(model, monkeypatch)
    play(model, (poll, *events))
    silent_at = model.leader.now
    while model.run_of_task == ("vm-1", 1):
        assert model.leader.now - silent_at <= CUT_S, "the run was never given up"
        model.advance(FINE_STEP_S)
        model.poll(("vm-1",), "lose")
        model.poll(("vm-2",), "deliver")
        model.run_round("deliver", "vm-2")
        model.check()
    assert model.run_of_task == ("vm-2", 2)
    granted_at = max(model.leader.started_at, *renewals)
    assert model.leader.now <= lease_expiry(granted_at=granted_at, length_s=RUN_LEASE_S) + 2 * FINE_STEP_S


def test_run_on_the_next_boot_of_a_vm_that_then_ends_is_free_after_the_usual_lease(model):
    """Guards against tasks that wait for 23 s after their VM has restarted and, soon after, ended for good (LOST)."""
    play(model, (start, poll, poll_reaches_next_boot_unanswered, announce, poll, start, poll))
    crashed_at = model.leader.now
    take_down(model)
    while model.run_of_task == ("vm-1", 2):
        assert model.leader.now - crashed_at <= CUT_S, "the run was never given up"
        model.advance(FINE_STEP_S)
        model.poll(VMS, "deliver")
        model.run_round("deliver", "vm-2")
        model.check()
    assert model.run_of_task == ("vm-2", 3)
    ended_at = lease_expiry(granted_at=crashed_at, length_s=RUN_LEASE_S)
    assert model.leader.now <= ended_at + 2 * FINE_STEP_S


def test_run_of_a_vm_that_ended_while_a_copy_of_its_start_is_late_is_not_free_sooner(model):
    """Guards against a second run beside one that the next boot starts from a late copy after the VM refused a poll (TWICE)."""
    play(model, (poll_is_late, restart, announce, poll, start_with_late_copy, poll, take_down, poll))
    model.advance(RUN_LEASE_S + STEP_S)
    poll(model)
    assert model.run_of_task == ("vm-1", 1)


def repeat_start(model, fault):
    """The first VM answers a poll; the starts that are repeated after it meet a fault."""
    deliver = model.network.start

    async def start_with_fault(**arguments):
        nonlocal fault
        model.network.fault = fault
        try:
            return await deliver(**arguments)
        finally:
            fault, model.network.fault = model.network.fault, "deliver"

    model.network.start = start_with_fault
    model.advance(STEP_S)
    model.poll(("vm-1",), "deliver")
    model.network.start = deliver


@pytest.mark.parametrize("silent_s", [0.0, 3.0, 7.5])
def test_start_that_is_repeated_for_long_reaches_no_boot_that_the_next_leader_does_not_wait_for(
    long_running, silent_s
):
    """Guards against a second run of a long-running task beside a start that was repeated for 13 s (TWICE)."""
    model = long_running
    model.run_round("lose", "vm-1")
    for _ in range(int(silent_s / STEP_S)):
        model.advance(STEP_S)
        model.poll(("vm-1",), "lose")
    for _ in range(int(REPEATED_S / STEP_S)):
        repeat_start(model, "lose")
    repeat_start(model, "restart_mute")
    play(model, (change_leader, *CUT))


def record_renewals(model, monkeypatch):
    """Returns the list of the times at which polls of the first VM carry a lease from now on."""
    renewals = []
    send_poll = model.network.poll

    async def record_and_poll(*, vm, lease_until_ms, **arguments):
        if vm.vm_id == "vm-1" and lease_until_ms is not None:
            renewals.append(model.leader.now)
        return await send_poll(vm=vm, lease_until_ms=lease_until_ms, **arguments)

    monkeypatch.setattr(model.network, "poll", record_and_poll)
    return renewals
