"""Placement of tasks by the ratings of VMs, from the ends that VMs list to the orders."""

from __future__ import annotations

import pytest

from dispatch.test_copies_of_runs import Fleet
from hyssopway.dispatch import WorkerUnreachableError
from hyssopway.dispatch.listed_end import ListedEnd
from hyssopway.dispatch.vm_link import CONTACT_TIMEOUT_S
from hyssopway.scheduling.rating import Rating
from hyssopway.scheduling.vm_evidence import MIN_PROBE_WAIT_S
from hyssopway.scheduling.vm_judgement import MAX_PROBE_PHASE_S, MIN_ORDERS
from hyssopway.workflow import PutDocument, RunEnd, RunOutcome, Step, TaskId
from workflow.conftest import make_document, make_workflow

RUN_S = 0.6


class RatedFleet(Fleet):
    """A fleet whose VMs complete all runs after a while, apart from a bad VM that fails them.

    Attributes:
        bad_vm: ID of the bad VM.
        ends: Number of the last end by VM.
    """

    def __init__(self, leadership):
        super().__init__(leadership)
        self.bad_vm = "r0-0"
        self.ends = {}

    async def finish_runs(self):
        """Ends all runs, and lets the leader poll the VMs."""
        self.leadership.now += RUN_S
        for vm_id, link in self.links.items():
            rows = [key for key, name in self.vms.running.items() if name == vm_id]
            self.vms.ends = []
            for task, run in rows:
                del self.vms.running[task, run]
                outcome = RunOutcome.FAILED if vm_id == self.bad_vm else RunOutcome.DONE
                self.ends[vm_id] = self.ends.get(vm_id, 0) + 1
                self.vms.ends.append(ListedEnd(self.ends[vm_id], RunEnd(task=task, run=run, outcome=outcome)))
            await link.poll()
        self.vms.ends = []

    async def play(self, name, *, rounds=1, **step):
        """Runs a workflow that is spread over all VMs."""
        step = Step(**{"count": 12, "cpu_millis": 9000, "estimate_ms": 600, **step})
        await self.leadership.propose(make_workflow(name, steps=(step,)))
        for _ in range(rounds):
            await self.run_round()
            await self.finish_runs()

    def status(self, name):
        return self.leadership.state.tables.workflows[name].status


@pytest.fixture
async def rated_fleet(leadership):
    leadership.begin_long_ago()
    result = RatedFleet(leadership)
    await result.set_up()
    for link in result.links.values():
        link.ratings = link.orders.ratings = result.dispatcher.ratings
    return result


async def test_bad_vm_is_avoided_and_fails_no_workflow(rated_fleet):
    """Guards against second runs on the VM on which the first failed, and against further tasks for a bad VM."""
    for number in range(3):
        await rated_fleet.play(f"w{number}", rounds=2)
        assert rated_fleet.status(f"w{number}") == "completed"
    await rated_fleet.run_round()
    ratings = rated_fleet.dispatcher.ratings
    assert ratings.rating("r0-0") is Rating.AVOIDED
    assert [vm for vm in rated_fleet.links if ratings.rating(vm) is not Rating.PREFERRED] == ["r0-0"]
    await rated_fleet.leadership.propose(
        make_workflow("next", steps=(Step(count=12, cpu_millis=9000, estimate_ms=600),))
    )
    await rated_fleet.run_round()
    assert "r0-0" not in rated_fleet.vms.running.values()
    assert rated_fleet.dispatcher.counters["vms_rated_avoided"] == 1


async def test_avoided_vm_gets_one_probe_at_a_time_and_returns(rated_fleet):
    """Guards against a full load for a VM that may still be bad, and against one that stays out after its repair."""
    for number in range(3):
        await rated_fleet.play(f"w{number}", rounds=2)
    await rated_fleet.run_round()
    rated_fleet.bad_vm = ""
    rated_fleet.leadership.now += MIN_PROBE_WAIT_S
    await rated_fleet.poll()
    for number in range(2):
        await rated_fleet.leadership.propose(
            make_workflow(f"probe-{number}", steps=(Step(count=40, cpu_millis=1000, estimate_ms=600),))
        )
        await rated_fleet.run_round()
        await rated_fleet.run_round()
        assert list(rated_fleet.vms.running.values()).count("r0-0") == 1
        await rated_fleet.finish_runs()
    await rated_fleet.run_round()
    assert rated_fleet.dispatcher.ratings.rating("r0-0") is Rating.PREFERRED
    assert rated_fleet.dispatcher.counters["probe_runs"] == 2


async def test_probe_needs_an_attempt_to_spare(rated_fleet):
    """Guards against a workflow that fails because its only attempt was used as a probe."""
    for number in range(3):
        await rated_fleet.play(f"w{number}", rounds=2)
    await rated_fleet.run_round()
    await rated_fleet.leadership.propose(PutDocument(document=make_document(version=2, max_attempts=1)))
    rated_fleet.leadership.now += MIN_PROBE_WAIT_S
    await rated_fleet.poll()
    await rated_fleet.leadership.propose(make_workflow("w", steps=(Step(count=12, cpu_millis=9000),)))
    await rated_fleet.run_round()
    assert "r0-0" not in rated_fleet.vms.running.values()


async def test_failed_task_runs_on_another_vm(rated_fleet):
    """Guards against a second attempt on the VM that failed the first while others have room."""
    await rated_fleet.play("w")
    failed = [
        index
        for index, failures in enumerate(
            rated_fleet.leadership.state.tables.workflows["w"].progress[0][0].failures
        )
        if failures
    ]
    assert failed
    await rated_fleet.run_round()
    for index in failed:
        assert rated_fleet.runs()[TaskId("w", 0, 0, index).name] != ["r0-0"]


async def test_long_running_tasks_are_no_probes(rated_fleet):
    """Guards against a long-running task that is placed on a VM that may still be bad."""
    for number in range(3):
        await rated_fleet.play(f"w{number}", rounds=2)
    await rated_fleet.run_round()
    rated_fleet.leadership.now += MIN_PROBE_WAIT_S
    await rated_fleet.poll()
    step = Step(count=12, cpu_millis=9000, long_running=True)
    await rated_fleet.leadership.propose(make_workflow("w", steps=(step,)))
    await rated_fleet.run_round()
    assert "r0-0" not in rated_fleet.vms.running.values()


async def test_vm_that_flaps_is_avoided_until_it_restarts(rated_fleet):
    """Guards against tasks that start again and again on a VM that alternates between down and up."""
    ratings = rated_fleet.dispatcher.ratings
    for _ in range(2):
        await rated_fleet.darken("r0-0")
        rated_fleet.vms.silent_vms = set()
        await rated_fleet.poll()
    await rated_fleet.run_round()
    assert ratings.rating("r0-0") is Rating.AVOIDED
    rated_fleet.vms.boot = 2
    await rated_fleet.links["r0-0"].poll()
    await rated_fleet.run_round()
    assert ratings.rating("r0-0") is Rating.PREFERRED


async def test_lost_answers_of_one_vm_are_counted(rated_fleet):
    """Guards against tasks for a VM that leaves its orders unanswered while it answers polls."""
    start = rated_fleet.vms.start

    async def lose_starts(*, vm, **arguments):
        if vm.vm_id == "r0-0":
            raise WorkerUnreachableError("lost")
        return await start(vm=vm, **arguments)

    rated_fleet.vms.start = lose_starts
    # Orders that are lost between two polls count as one.
    for number in range(MIN_ORDERS):
        await rated_fleet.submit(name=f"w{number}", count=len(rated_fleet.links), spread_limit=1)
        await rated_fleet.poll()
    await rated_fleet.run_round()
    assert rated_fleet.dispatcher.ratings.rating("r0-0") is Rating.AVOIDED


async def rate_vm_as_bad(fleet):
    """Lets one VM fail its runs until it is avoided."""
    for number in range(3):
        await fleet.play(f"w{number}", rounds=2)
    await fleet.run_round()
    assert fleet.dispatcher.ratings.rating(fleet.bad_vm) is Rating.AVOIDED


@pytest.mark.parametrize("wait_s", [0.0, MIN_PROBE_WAIT_S], ids=["avoided", "probed"])
@pytest.mark.parametrize("gang", [False, True])
async def test_long_running_task_that_can_run_on_no_other_vm_starts_on_an_avoided_one(
    rated_fleet, wait_s, gang
):
    """Guards against a task that waits for ever because the only VM with its label was faulty once."""
    await rate_vm_as_bad(rated_fleet)
    label_vm(rated_fleet, rated_fleet.bad_vm)
    rated_fleet.leadership.now += wait_s
    await rated_fleet.poll()
    steps = (Step(count=1, cpu_millis=1000, long_running=True, label="only-here", gang=gang),)
    await rated_fleet.leadership.propose(make_workflow("labelled", steps=steps))
    await rated_fleet.run_round()
    assert rated_fleet.vms.running["labelled.0.0.0", 1] == rated_fleet.bad_vm


async def test_task_that_can_run_on_another_vm_does_not_start_on_an_avoided_one(rated_fleet):
    """Guards against tasks that fail on a bad VM while a good one is only full."""
    await rate_vm_as_bad(rated_fleet)
    steps = (Step(count=400, cpu_millis=9000, long_running=True),)
    await rated_fleet.leadership.propose(make_workflow("many", steps=steps))
    await rated_fleet.run_round()
    assert rated_fleet.vms.running
    assert rated_fleet.bad_vm not in rated_fleet.vms.running.values()


async def test_tasks_do_not_start_on_an_avoided_vm_that_answers_first_after_a_pause_of_the_leader(
    rated_fleet,
):
    """Guards against a backlog that goes to a bad VM because no other has answered yet."""
    await rate_vm_as_bad(rated_fleet)
    steps = (Step(count=3, cpu_millis=1000, long_running=True),)  # no probes
    await rated_fleet.leadership.propose(make_workflow("backlog", steps=steps))
    rated_fleet.leadership.now += CONTACT_TIMEOUT_S + 0.1
    await rated_fleet.links[rated_fleet.bad_vm].poll()
    await rated_fleet.run_round()
    assert not rated_fleet.vms.running


async def test_vm_that_gets_no_probe_run_is_preferred_again(rated_fleet):
    """Guards against a VM that stays out of use because only long-running tasks wait."""
    await rate_vm_as_bad(rated_fleet)
    rated_fleet.leadership.now += MIN_PROBE_WAIT_S
    await rated_fleet.poll()
    await rated_fleet.run_round()
    rated_fleet.leadership.now += MAX_PROBE_PHASE_S + 0.1
    await rated_fleet.poll()
    await rated_fleet.run_round()
    assert rated_fleet.dispatcher.ratings.rating(rated_fleet.bad_vm) is Rating.PREFERRED


def label_vm(fleet, vm_id):
    """Gives a VM a label that no other has."""
    fleet.leadership.state.tables.vms[vm_id].labels += ("only-here",)
