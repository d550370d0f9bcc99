"""Maintenance waves over VMs with runs."""

from __future__ import annotations

import pytest

from dispatch.conftest import LIMITS, make_link
from hyssopway.clock import wall_ms
from hyssopway.dispatch import Machine, MachineCallError, MachineOrderResult, MachineState
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.machine_inventory import GONE_AFTER_S, MachineInventory
from hyssopway.dispatch.vm_drainer import VmDrainer
from hyssopway.dispatch.wave_executor import MAX_DRAIN_S, WaveExecutor
from hyssopway.workflow import BeginMaintenance, RunStart, StartRuns, StartWave, Step
from workflow.conftest import make_workflow


class FakePlatform:
    """Lists one machine and carries out orders."""

    def __init__(self):
        self.orders = []
        self.missing = False
        self.joined = {}
        self.result = MachineOrderResult.DONE
        self.loses_answers = False

    async def list_machines(self):
        names = {"m1": "vm-1", "m9": "", **self.joined}
        if self.missing:
            del names["m1"]
        return [
            Machine(machine_id=name, pool="vans", state=MachineState.UP, zone="nashua", vm_id=vm_id)
            for name, vm_id in names.items()
        ]

    async def order_maintenance(self, *, machine_id, wave, fencing_token, may_send):
        self.orders.append(machine_id)
        if self.loses_answers:
            raise MachineCallError("no answer")
        return self.result


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
async def waves(fleet, vms, platform):
    link = make_link("vm-1", leadership=fleet, calls=vms)
    links = {"vm-1": link}
    drainer = VmDrainer(leadership=fleet, links=links, dispatcher=Dispatcher(leadership=fleet, links=links))
    machines = MachineInventory(
        leadership=fleet, calls=platform, machine_lease_s=LIMITS.machine_lease_s, min_down_s=LIMITS.move_s
    )
    await machines.refresh(max_age_s=1.0)
    await fleet.propose(StartWave(number=1, machines=("m1",), deadline_ms=wall_ms() + 60_000, max_down=1))
    return WaveExecutor(
        leadership=fleet,
        calls=platform,
        machines=machines,
        drainer=drainer,
        maintenance_s=LIMITS.maintenance_s,
    )


async def start_task(fleet, step):
    await fleet.propose(make_workflow("busy", steps=(step,)))
    starts = (RunStart(task="busy.0.0.0", run=1, vm="vm-1"),)
    await fleet.propose(StartRuns(fencing_token=fleet.term, starts=starts))


async def advance(waves, *, seconds):
    wave = waves.leadership.state.tables.waves[1]
    for _ in range(int(seconds)):
        await waves.advance(wave)
        waves.leadership.now += 1.0
        await waves.machines.refresh(max_age_s=1.0)
    return wave


async def test_idle_vm_goes_into_maintenance_at_once(waves, platform):
    """Guards against a wave that waits although its VM has no runs."""
    wave = await advance(waves, seconds=2)
    assert platform.orders == ["m1"]
    assert wave.is_complete


async def test_short_task_delays_maintenance_for_a_bounded_time(waves, platform, fleet):
    """Guards against a wave that one task keeps from completing."""
    await start_task(fleet, Step(count=1))
    await advance(waves, seconds=MAX_DRAIN_S - 2)
    assert platform.orders == []
    await advance(waves, seconds=5)
    assert platform.orders == ["m1"]


async def test_maintenance_never_ends_a_long_running_task(waves, platform, fleet):
    """Guards against an interruption beyond the disruption allowance of a step after a long wait."""
    await start_task(fleet, Step(count=3, long_running=True, disruption_allowance=1))
    await advance(waves, seconds=MAX_DRAIN_S * 3)
    assert platform.orders == []


async def test_machine_missing_from_one_list_still_gets_its_maintenance(waves, platform):
    """Guards against a machine that counts as gone because the pages of one list shifted while they were read."""
    platform.missing = True
    waves.leadership.now += 1.0
    await waves.machines.refresh(max_age_s=1.0)
    wave = waves.leadership.state.tables.waves[1]
    await waves.advance(wave)
    assert not wave.is_complete
    platform.missing = False
    wave = await advance(waves, seconds=3)
    assert platform.orders == ["m1"]
    assert wave.is_complete


async def test_machine_that_joined_after_the_last_list_gets_its_maintenance(waves, platform, fleet):
    """Guards against a wave that is complete although one of its machines had no maintenance (MIXED).

    The wave names a machine 0.3 s after its VM joined, while the last list of machines is 0.7 s old and lacks it.
    """
    waves.leadership.now += 60.0
    await waves.machines.refresh(max_age_s=1.0)
    await fleet.propose(StartWave(number=2, machines=("m2",), deadline_ms=wall_ms() + 60_000, max_down=1))
    wave = waves.leadership.state.tables.waves[2]
    await waves.advance(wave)
    assert not wave.is_complete
    platform.joined = {"m2": ""}
    waves.leadership.now += 1.0
    await waves.machines.refresh(max_age_s=1.0)
    await waves.advance(wave)
    assert platform.orders == ["m2"]
    assert wave.is_complete


async def test_wave_completes_without_a_machine_that_is_gone(waves, platform):
    """Guards against a wave that waits forever for a machine that no longer exists."""
    platform.missing = True
    waves.leadership.now += 1.0
    await waves.machines.refresh(max_age_s=1.0)
    wave = await advance(waves, seconds=GONE_AFTER_S + 3)
    assert wave.is_complete
    assert platform.orders == []


async def test_new_leader_repeats_an_order_only_when_the_vm_is_drained(waves, platform, fleet):
    """Guards against a repeated order that ends a long-running task without regard to its allowance.

    A former leader recorded the order and died before it was carried out. Its successor does not know that the VM was
    cordoned, and has placed a task on it.
    """
    await fleet.propose(BeginMaintenance(wave=1, machine="m1", at_ms=0))
    await start_task(fleet, Step(count=3, long_running=True, disruption_allowance=1))
    await advance(waves, seconds=MAX_DRAIN_S * 3)
    assert platform.orders == []
    assert "vm-1" in waves.drainer.dispatcher.cordoned_vms


async def test_order_without_an_answer_is_repeated(waves, platform, fleet):
    """Guards against a wave that never completes because the answer to one order was lost."""
    platform.loses_answers = True
    await advance(waves, seconds=2)
    platform.loses_answers = False
    wave = await advance(waves, seconds=2)
    assert len(platform.orders) >= 2
    assert wave.is_complete


@pytest.mark.parametrize("result", [MachineOrderResult.NOT_DUE, MachineOrderResult.DONE])
async def test_vm_of_a_maintained_machine_keeps_its_runs(waves, platform, fleet, result):
    """Guards against runs that are taken for lost although they work, so that their tasks run twice.

    The answer to the order was lost. When it is repeated the machine is up again, with a new VM, and the platform
    answers that its maintenance is not due any more, or that it is already done.
    """
    await fleet.propose(BeginMaintenance(wave=1, machine="m1", at_ms=0))
    await start_task(fleet, Step(count=1))
    platform.result = result
    wave = await advance(waves, seconds=MAX_DRAIN_S + 2)
    assert wave.is_complete
    assert fleet.state.tables.vms["vm-1"].runs == {"busy.0.0.0/1"}
    assert not waves.drainer.dispatcher.cordoned_vms


async def test_start_that_is_committed_during_the_order_delays_it(waves, platform, fleet):
    """Guards against maintenance that ends a long-running task whose start is committed at the same moment."""
    propose = fleet.propose

    async def propose_after_start(command):
        fleet.propose = propose
        await start_task(fleet, Step(count=1, long_running=True))
        await propose(command)

    fleet.propose = propose_after_start
    await advance(waves, seconds=MAX_DRAIN_S * 2)
    assert platform.orders == []


async def test_old_list_does_not_show_that_a_machine_has_no_vm(waves, platform, fleet):
    """Guards against maintenance of a machine whose VM was replaced since the list was read."""
    await fleet.propose(StartWave(number=2, machines=("m9",), deadline_ms=wall_ms() + 60_000, max_down=1))
    wave = waves.leadership.state.tables.waves[2]
    waves.leadership.now += LIMITS.move_s
    await waves.advance(wave)
    assert platform.orders == []
    await waves.machines.refresh(max_age_s=1.0)
    await waves.advance(wave)
    assert platform.orders == ["m9"]


async def test_vm_of_a_machine_that_was_only_missing_is_released(waves, platform, fleet):
    """Guards against a VM that stays cordoned for ever, because its machine was missing from lists for a while."""
    await start_task(fleet, Step(count=1, long_running=True))
    await advance(waves, seconds=1)
    assert waves.drainer.dispatcher.cordoned_vms == {"vm-1"}
    platform.missing = True
    wave = await advance(waves, seconds=GONE_AFTER_S + 2)
    assert wave.is_complete
    platform.missing = False
    waves.release_vms()
    assert not waves.drainer.dispatcher.cordoned_vms
    assert fleet.state.tables.vms["vm-1"].runs == {"busy.0.0.0/1"}
