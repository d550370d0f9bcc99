"""A VM that restarts under its ID while orders are on their way to it.

An order names the VM and not its boot, and a new boot has seen no fencing token and no stop.
"""

from __future__ import annotations

import asyncio

import pytest

from dispatch.conftest import LIMITS, FakeLeadership, make_link
from hyssopway.dispatch import OrderReply, OtherBootError, WorkerUnreachableError
from hyssopway.dispatch.leader_controller import LeaderController
from hyssopway.dispatch.lease import RUN_LEASE_S, lease_expiry
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.order_delay import MAX_ORDER_DELAY_S
from hyssopway.workflow import RunEnd, RunOutcome, RunStart, StartRuns, WorkflowStatus
from workflow.conftest import make_vm

TASK = "w.0.0.0"
KEY = f"{TASK}/1"


@pytest.fixture
async def link(fleet, vms):
    built = make_link("vm-1", leadership=fleet, calls=vms)
    await built.poll()
    return built


def restart(vms, *, boot=2):
    vms.boot, vms.running = boot, {}


async def commit_start(link):
    link.orders.expect_start(task=TASK, run=1)
    start = RunStart(task=TASK, run=1, vm="vm-1")
    await link.leadership.propose(StartRuns(fencing_token=link.leadership.term, starts=(start,)))
    (run,) = link.leadership.state.tables.runs[TASK]
    return run


async def start(link):
    await link.start(await commit_start(link), specification="", checkpoint="")


async def start_on_next_boot(link, vms, *, is_answered, boot=2):
    """Starts a run; its VM restarts before the order arrives, and starts it."""

    async def take_start(*, vm, task, run, **_):
        if vms.boot != boot:
            restart(vms, boot=boot)
        vms.running[task, run] = vm.vm_id
        if not is_answered:
            raise WorkerUnreachableError("no answer")
        return OrderReply()

    vms.start = take_start
    await start(link)


def list_active_runs(link):
    return [(run.key, run.boot) for runs in link.leadership.state.tables.runs.values() for run in runs]


@pytest.mark.parametrize("is_answered", [False, True], ids=["unanswered", "answered"])
async def test_start_that_reached_the_next_boot_of_its_vm_is_not_started_again(link, vms, is_answered):
    """Guards against a second run of a task whose start was carried out by the VM after it had restarted (TWICE)."""
    await start_on_next_boot(link, vms, is_answered=is_answered)
    await link.poll()
    assert list_active_runs(link) == [(KEY, 2)]
    await link.poll()
    await asyncio.gather(*link.orders.sending)
    assert list_active_runs(link) == [(KEY, 2)]
    assert not any(order == "stop" for order, _, _ in vms.orders)


async def test_start_in_doubt_is_stopped_before_its_task_can_start_again(link, vms):
    """Guards against a late order that starts a run on a VM's next boot after its task was started elsewhere (TWICE)."""
    vms.silent = True
    await start(link)
    vms.silent = False
    restart(vms)
    await link.poll()
    assert list_active_runs(link) == [(KEY, 2)]
    for _ in range(2):
        await link.poll()
        await asyncio.gather(*link.orders.sending)
    assert vms.orders[-1] == ("stop", TASK, 1)
    link.leadership.now += LIMITS.stop_s / 2
    await link.poll()
    assert list_active_runs(link) == [(KEY, 2)], "a run that is being stopped is not listed"
    link.leadership.now += LIMITS.stop_s
    await link.poll()
    assert list_active_runs(link) == []


async def test_order_in_flight_during_a_restart_does_not_become_a_second_run(link, vms):
    """Guards against a start that is sent again to a VM whose restart has been noticed meanwhile (TWICE)."""
    orders = []

    async def restart_and_lose(*, task, run, **_):
        orders.append((task, run))
        restart(vms)
        await link.poll()
        raise WorkerUnreachableError("reset", is_broken=True)

    vms.start = restart_and_lose
    await start(link)
    assert orders == [(TASK, 1)]
    assert list_active_runs(link) == [(KEY, 2)]
    assert link.orders.unanswered_starts == {}


async def test_start_is_not_repeated_after_the_end_of_its_run(link, vms):
    """Guards against a run that starts again on the next boot of its VM, after its end was acknowledged (TWICE)."""
    orders = []

    async def end_and_lose(*, task, run, **_):
        orders.append((task, run))
        vms.ends.append(ListedEnd(1, RunEnd(task=task, run=run, outcome=RunOutcome.DONE)))
        await link.poll()
        raise WorkerUnreachableError("no answer")

    vms.start = end_and_lose
    await start(link)
    assert orders == [(TASK, 1)]


async def test_announced_boot_does_not_end_a_run_that_it_may_have_started(link, vms, fleet):
    """Guards against a second run of a task when the VM announces its restart before it answers a poll (TWICE)."""
    controller = LeaderController(leadership=fleet, calls=vms, machines=None, advisor=None, limits=LIMITS)
    controller.links["vm-1"] = link
    controller.tasks["vm-1"] = asyncio.create_task(asyncio.sleep(3600))  # polls are made by the test
    await start_on_next_boot(link, vms, is_answered=False)
    fleet.now += 2.0
    await controller.handle_announcement(make_vm("vm-1", boot=2))
    assert list_active_runs(link) == [(KEY, 2)]
    await link.poll()
    assert list_active_runs(link) == [(KEY, 2)]
    controller.tasks["vm-1"].cancel()


async def test_next_boot_keeps_a_start_of_the_leader_before(link, vms, fleet):
    """Guards against a second run of a task that an earlier leader ordered and the next boot started (TWICE)."""
    await start_on_next_boot(link, vms, is_answered=False)
    successor = FakeLeadership()
    successor.state, successor.term = fleet.state, fleet.term + 1
    next_link = make_link("vm-1", leadership=successor, calls=vms)
    await next_link.poll()
    await next_link.poll()
    assert list_active_runs(next_link) == [(KEY, 2)]


async def test_start_in_doubt_is_kept_when_the_clock_of_the_vm_was_set_back(link, vms):
    """Guards against a second run of a task whose VM restarted with a lower boot number (TWICE)."""
    await start_on_next_boot(link, vms, is_answered=False, boot=0)
    await link.poll()
    assert list_active_runs(link) == [(KEY, 0)]
    assert link.record.boot == 0


async def test_run_that_the_earlier_boot_listed_is_free_at_once(link, vms):
    """Guards against a delay of every task whose VM restarts, where no order was on its way."""
    await start(link)
    await link.poll()
    restart(vms)
    await link.poll()
    assert list_active_runs(link) == []


async def test_task_in_doubt_still_counts_as_a_suspect_of_the_crash(link, vms):
    """Guards against a task that crashes its VM as it starts and is not counted, because its start got no answer."""

    async def crash(*, task, run, **_):
        restart(vms)
        link.leadership.now += 0.1
        raise WorkerUnreachableError("reset", is_broken=True)

    vms.start = crash
    await start(link)
    await link.poll()
    progress = link.leadership.state.tables.workflows["w"].progress[0][0]
    assert progress.crashes[0].total == 1
    await link.poll()
    assert progress.crashes[0].total == 1


async def test_task_whose_starts_were_lost_together_with_others_is_not_given_up(link, vms):
    """Guards against a failed job whose tasks no VM had, since each VM restarted before it received them (LOST)."""

    async def reset(**_):
        await asyncio.sleep(0)  # the other start is sent as well
        link.leadership.now += 0.05
        raise WorkerUnreachableError("reset", is_broken=True)

    vms.start = reset
    tables = link.leadership.state.tables
    for boot in (2, 3, 4):
        starts = tuple(RunStart(task=f"w.0.0.{number}", run=boot, vm="vm-1") for number in (0, 1))
        for one in starts:
            link.orders.expect_start(task=one.task, run=one.run)
        await link.leadership.propose(StartRuns(fencing_token=link.leadership.term, starts=starts))
        runs = [run for one in starts for run in tables.runs[one.task]]
        await asyncio.gather(*(link.start(run, specification="", checkpoint="") for run in runs))
        restart(vms, boot=boot)
        for _ in range(3):
            await link.poll()
            await asyncio.gather(*link.orders.sending)
            link.leadership.now += 0.7
        assert not tables.runs
    assert tables.workflows["w"].status is WorkflowStatus.RUNNING


@pytest.mark.parametrize(
    ("polls", "late_s"),
    [(1, MAX_ORDER_DELAY_S), (2, 0.0)],
    ids=["lost before it has answered a higher token", "lost after it has answered a higher token"],
)
async def test_lease_on_the_clock_of_the_earlier_boot_is_waited_for(link, vms, polls, late_s):
    """Guards against a second run after a VM has restarted and fallen silent: its lease is not the usual one (TWICE).

    The end of a lease on the earlier boot's clock is far ahead of the new clock, so that the VM takes the longest lease. A
    copy of the start that got no answer may still be carried out, and renews that lease, until the VM has seen a higher token.
    The first poll shows the next boot, the second has that token.
    """
    await start_on_next_boot(link, vms, is_answered=False)
    for _ in range(polls):
        await link.poll()
    last_taken_at = link.leadership.now + late_s
    vms.silent = True
    while link.leadership.now < lease_expiry(granted_at=last_taken_at, length_s=LIMITS.longest_lease_s):
        assert list_active_runs(link) == [(KEY, 2)]
        await link.poll()
        link.leadership.now += 0.5
    await link.poll()
    assert list_active_runs(link) == []


async def test_vm_that_refuses_connections_gets_no_lease_on_its_old_clock(link, vms):
    """Guards against the longest lease for every VM that restarts, which delays tasks when it then falls silent."""
    link.orders.record_loss(WorkerUnreachableError("refused", is_sent=False))
    await link.poll()
    assert vms.leases[-1] is None
    await link.poll()
    assert vms.leases[-1] is not None


@pytest.mark.parametrize("change", ["lost leadership", "restart", "stop"])
async def test_start_is_not_written_after_a_pause_that_ended_its_permission(link, vms, change):
    """Guards against an order of a former leader: a VM that has restarted has seen no higher token and obeys it (TWICE)."""
    allowed = []

    async def open_connection(*, may_send, **_):
        match change:
            case "lost leadership":
                link.leadership.is_confirmed = False
            case "restart":
                restart(vms)
                await link.poll()
            case "stop":
                link.orders.request_stop(task=TASK, run=1, reason="cancelled")
        allowed.append(may_send())
        raise WorkerUnreachableError("not sent", is_sent=False)

    vms.start = open_connection
    await start(link)
    assert allowed == [False]


async def test_run_in_doubt_counts_once_as_a_suspect_while_its_vm_restarts_again_and_again(link, vms):
    """Guards against a job that fails because a VM restarted several times after a start that never reached it (LOST)."""
    vms.silent = True
    await start(link)
    vms.silent = False
    progress = link.leadership.state.tables.workflows["w"].progress[0][0]
    for boot in (2, 3):
        restart(vms, boot=boot)
        await link.poll()
        assert list_active_runs(link) == [(KEY, boot)]
        assert progress.crashes[0].total == 1
    await link.poll()
    restart(vms, boot=4)
    await link.poll()
    assert (list_active_runs(link), progress.crashes[0].total) == ([(KEY, 4)], 1)
    await link.poll()
    link.leadership.now += MAX_ORDER_DELAY_S + 0.1
    restart(vms, boot=5)
    await link.poll()
    assert list_active_runs(link) == [], (
        "boot 4 answered after the last order, so only a late one can reach boot 5"
    )
    assert progress.crashes[0].total == 1


async def test_run_in_doubt_counts_once_over_a_change_of_leader(link, vms, fleet):
    """Guards against a job that fails because two leaders counted the same end of a VM under its task (LOST)."""
    vms.silent = True
    await start(link)
    vms.silent = False
    restart(vms)
    await link.poll()
    successor = FakeLeadership()
    successor.state, successor.term = fleet.state, fleet.term + 1
    restart(vms, boot=3)
    next_link = make_link("vm-1", leadership=successor, calls=vms)
    await next_link.poll()
    progress = fleet.state.tables.workflows["w"].progress[0][0]
    assert (list_active_runs(next_link), progress.crashes[0].total) == ([(KEY, 3)], 1)


async def test_restart_that_is_noticed_twice_counts_once(link, vms):
    """Guards against a job that fails because an announcement and a poll told of the same restart (LOST)."""
    vms.silent = True
    await start(link)
    vms.silent = False
    restart(vms)
    propose = link.leadership.propose

    async def commit_later(command):
        await asyncio.sleep(0)
        await propose(command)

    link.leadership.propose = commit_later
    announcement = make_vm("vm-1", boot=2, sequence=1)
    await asyncio.gather(link.boots.replace(announcement, replaced_boot=1), link.poll())
    assert link.record.capacity == announcement.capacity
    progress = link.leadership.state.tables.workflows["w"].progress[0][0]
    assert (list_active_runs(link), progress.crashes[0].total) == ([(KEY, 2)], 1)


async def test_answer_of_a_boot_that_was_replaced_meanwhile_changes_nothing(link, vms):
    """Guards against a late answer that puts the earlier boot back into the record, and ends the runs of the later one."""
    await start(link)
    restart(vms, boot=2)
    poll = vms.poll

    async def answer_after_announcement(**arguments):
        reply = await poll(**arguments)
        await link.boots.replace(make_vm("vm-1", boot=3, sequence=1), replaced_boot=1)
        return reply

    vms.poll = answer_after_announcement
    await link.poll()
    assert link.record.boot == 3


async def test_vm_that_has_left_its_address_does_not_lose_the_runs_of_its_announced_boot(link, vms):
    """Guards against a second run of a task that the next boot works on, as another VM answers at the earlier address (TWICE)."""
    await start_on_next_boot(link, vms, is_answered=False)

    async def answer_as_other_vm(**_):
        await link.boots.replace(make_vm("vm-1", boot=2, sequence=1), replaced_boot=1)
        raise OtherBootError("421")

    vms.poll = answer_as_other_vm
    await link.poll()
    assert list_active_runs(link) == [(KEY, 2)]


async def test_lease_that_another_vm_has_refused_is_not_waited_for(link, vms):
    """Guards against runs that wait 23 s for the lease in a poll that was answered with 421 and not carried out (LOST)."""
    link.leadership.started_at -= 60.0  # no lease of a former leader is held
    poll = vms.poll

    async def answer_as_other_vm(**_):
        raise OtherBootError("421")

    vms.poll = answer_as_other_vm
    await link.poll()
    await link.boots.replace(make_vm("vm-1", boot=2, sequence=1), replaced_boot=1)
    vms.poll, vms.boot = poll, 2
    await link.poll()
    now = link.leadership.clock()
    assert link.lease.expires_at <= lease_expiry(granted_at=now, length_s=RUN_LEASE_S)


async def test_run_in_doubt_is_kept_when_two_restarts_are_noticed_together(link, vms, monkeypatch):
    """Guards against a second run of a task that a boot works on which announced itself while another was registered (TWICE)."""
    await start_on_next_boot(link, vms, is_answered=False, boot=3)
    leadership, announcements = link.leadership, []
    propose = leadership.propose

    async def announce_and_commit(command):
        if not announcements:
            announcement = link.boots.replace(make_vm("vm-1", boot=3, sequence=1), replaced_boot=1)
            announcements.append(asyncio.create_task(announcement))
            await asyncio.sleep(0)
        await propose(command)

    monkeypatch.setattr(leadership, "propose", announce_and_commit)
    await link.boots.replace(make_vm("vm-1", boot=2), replaced_boot=1)
    await asyncio.gather(*announcements)
    assert list_active_runs(link) == [(KEY, 3)]


async def test_announcement_of_a_vm_without_a_boot_number_ends_no_run(link, vms, fleet):
    """Guards against losing the runs of a VM that does not report its start, whenever it announces a change."""
    await fleet.propose(make_vm("vm-3", boot=0))
    await fleet.propose(StartRuns(fencing_token=3, starts=(RunStart(task=TASK, run=1, vm="vm-3"),)))
    await fleet.propose(make_vm("vm-3", boot=0, draining=True, sequence=2))
    record = fleet.state.tables.vms["vm-3"]
    assert (record.draining, record.runs) == (True, {KEY})
