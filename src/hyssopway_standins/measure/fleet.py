"""Measures fleet decisions against baselines, with a fake clock and without processes."""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from expression import Error, Result

from hyssopway.control import ControlState
from hyssopway.control.command import ControlWave, SetZone, WaveAction
from hyssopway.control.record import VmState, WaveStatus, WaveVmStatus, ZoneStatus
from hyssopway.fleet import FleetController
from hyssopway.fleet.demand import Demand
from hyssopway.fleet.lending import decide_lending
from hyssopway.fleet.waves import decide_waves
from hyssopway.fleet.zone_steps import decide_zones
from hyssopway.result import Failure, ResultCode
from hyssopway_standins.state_machine import StateMachineStandIn
from hyssopway_standins.wave_driver import WaveDriver

from .measurement import Measurement, Series
from .zone_work import measure_zone_work

if TYPE_CHECKING:
    from collections.abc import Iterator

    from hyssopway.control import Outcome
    from hyssopway.control.record import Wave

DEPLOYMENTS = ("pantry", "association")
BUFFERS = (
    "none",
    "fixed",
    "fixed_without_failures",
    "shared",
    "lent",
    "at_once",
    "no_drain",
    "tasks_10",
    "tasks_25",
    "tasks_50",
)
ROUND_S = 5.0
PEAK_FACTOR = 5.0
LOW_FACTOR = 0.05
# Fraction of the work of a pool that spare VMs can run as tasks and release immediately by a checkpoint.
CHECKPOINTABLE = {"tasks_10": 0.10, "tasks_25": 0.25, "tasks_50": 0.50}


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures waves, zone changes, buffer policies and the cost of decisions."""
    figures: dict[str, float] = {}
    for deployment in DEPLOYMENTS:
        figures |= _measure_wave(deployment, seed=seed)
        figures |= _measure_zone(deployment, seed=seed)
        figures |= asyncio.run(measure_zone_work(deployment, seed=seed))
        for buffer in BUFFERS:
            figures |= _measure_buffer(deployment, buffer=buffer, seed=seed, rounds=240 if quick else 1440)
    scale = list(_measure_scale(sizes=(40, 400) if quick else (40, 400, 4000, 21_000)))
    for size, rate, memory_mb, round_ms in scale:
        figures[f"controller_round_{size}_vms_ms"] = round_ms
        figures[f"wave_rounds_{size}_vms_per_s"] = rate
        figures[f"state_{size}_vms_mb"] = memory_mb
    series = [
        Series(
            name="wave rounds",
            x_label="VMs",
            y_label="wave rounds per s",
            points=[(size, rate) for size, rate, *_ in scale],
        ),
        Series(
            name="state",
            x_label="VMs",
            y_label="memory in MB",
            points=[(size, mb) for size, _, mb, _ in scale],
        ),
    ]
    return Measurement(area="fleet", figures=figures, series=series)


def _measure_wave(deployment: str, *, seed: int) -> dict[str, float]:
    """Runs a wave with five faults, and the baseline of one VM at a time with the same faults."""
    figures: dict[str, float] = {}
    for name, one_at_a_time in (("wave", False), ("one_by_one", True)):
        driver = WaveDriver(
            state_machine=StateMachineStandIn.prepare_example(deployment), one_at_a_time=one_at_a_time
        )
        failing = random.Random(seed).sample(sorted(driver.state_machine.state.tables.vms), 3)
        wave_id, pauses = driver.start().wave_id, 0
        for number in range(4000):
            wave = driver.state_machine.state.tables.waves[wave_id]
            if wave.status is WaveStatus.DONE:
                break
            if wave.status is WaveStatus.PAUSED:
                pauses += 1
                driver.state_machine.apply(_resume(wave))
            _inject_faults(driver, failing=failing, number=number)
            driver.run_round()
        wave = driver.state_machine.state.tables.waves[wave_id]
        prefix = f"{deployment}_{name}"
        figures[f"{prefix}_roll_out_s"] = driver.state_machine.now_ms / 1000
        figures[f"{prefix}_pauses"] = float(pauses)
        figures[f"{prefix}_finished"] = float(wave.status is WaveStatus.DONE)
        figures[f"{prefix}_maintained_vms"] = float(wave.count(WaveVmStatus.DONE))
        figures[f"{prefix}_rebooted_twice_vms"] = float(sum(n > 1 for n in driver.reboots.values()))
        figures[f"{prefix}_most_down_in_pool_vms"] = float(max(driver.peak_down.values()))
    return figures


def _resume(wave: Wave) -> ControlWave:
    """Returns the command of an operator who resumes a paused wave immediately."""
    return ControlWave(
        request_id=f"{wave.wave_id}-{wave.epoch}-resume",
        operator="operator",
        wave=wave.wave_id,
        action=WaveAction.RESUME,
        expected_epoch=wave.epoch,
    )


def _inject_faults(driver: WaveDriver, *, failing: list[str], number: int) -> None:
    """Injects a failed VM, a quarantine, a VM that does not return, a new leader and a former leader."""
    down, quarantined, lost = failing
    match number:
        case 20:
            driver.change(down, VmState.DOWN)
            driver.failing_reboots.add(lost)
        case 30:
            driver.change(quarantined, VmState.QUARANTINED)
        case 40:
            state = ControlState()
            state.restore_snapshot(driver.state_machine.state.encode_snapshot())
            driver.state_machine.state = state
        case 50 | 80:
            driver.repeat_steps = number == 50
        case 70:
            driver.change(down, VmState.READY)
        case 90:
            driver.change(quarantined, VmState.READY)


def _measure_zone(deployment: str, *, seed: int) -> dict[str, float]:
    """Withdraws and restores a zone at a load of 80 % of each pool, with failures of VMs."""
    driver = WaveDriver(state_machine=StateMachineStandIn.prepare_example(deployment))
    rng = random.Random(seed)
    zone = rng.choice(sorted(driver.state_machine.state.tables.zones))
    demand = {pool: 0.8 * size for pool, size in _count_ready(driver, outside="").items()}
    failing = rng.sample(
        [vm.name for vm in driver.state_machine.state.tables.vms.values() if vm.zone != zone], 5
    )
    last_return_ms: dict[str, int] = {}
    done = without_moves = possible = 0.0
    for number in range(400):
        if number in (10, 150):
            status = ZoneStatus.WITHDRAWN if number == 10 else ZoneStatus.RETURNING
            driver.state_machine.apply(
                SetZone(zone=zone, status=status, request_id=f"z{number}", operator="operator")
            )
        if number % 50 == 25 and number // 50 < len(failing):
            driver.change(failing[number // 50], VmState.DOWN)
        if number % 50 == 45 and number // 50 < len(failing):
            driver.change(failing[number // 50], VmState.READY)
        for step in decide_zones(
            driver.state_machine.state, now_ms=driver.state_machine.now_ms, last_return_ms=last_return_ms
        ):
            driver.state_machine.apply(step)
        driver.run_round()
        if number < 10 or (number > 150 and not _is_changing(driver, zone=zone)):
            continue
        closed = driver.state_machine.state.tables.zones[zone].status is ZoneStatus.WITHDRAWN
        ready = _count_ready(driver, outside=zone if closed else "")
        own = _count_ready(driver, outside=zone if closed else "", borrowed=False)
        done += sum(min(demand[pool], ready[pool]) for pool in demand)
        without_moves += sum(min(demand[pool], own[pool]) for pool in demand)
        remaining = [
            vm
            for vm in driver.state_machine.state.tables.vms.values()
            if vm.state is not VmState.DOWN and not (closed and vm.zone == zone)
        ]
        possible += min(sum(demand.values()), float(len(remaining)))
    return {
        f"{deployment}_zone_work_share": done / possible,
        f"{deployment}_zone_without_moves_work_share": without_moves / possible,
        f"{deployment}_zone_permits_left": float(len(driver.state_machine.state.tables.permits)),
    }


def _is_changing(driver: WaveDriver, *, zone: str) -> bool:
    """Tells whether a zone is not open yet or VMs borrowed for its withdrawal are not back."""
    tables = driver.state_machine.state.tables
    status = tables.zones[zone].status
    return status is not ZoneStatus.OPEN or any(
        permit.holder == f"withdrawal of {zone}" for permit in tables.permits.values()
    )


def _count_ready(driver: WaveDriver, *, outside: str, borrowed: bool = True) -> dict[str, int]:
    """Counts the ready VMs of each pool that is not spare, without those of the zone `outside`."""
    state = driver.state_machine.state
    document = state.document()
    ready = {pool.name: 0 for pool in document.pools if not pool.spare} if document else {}
    for vm in state.tables.vms.values():
        usable = vm.state is VmState.READY and vm.zone != outside and (borrowed or not vm.moved_for)
        if usable and vm.pool in ready:
            ready[vm.pool] += 1
    return ready


def _measure_buffer(deployment: str, *, buffer: str, seed: int, rounds: int) -> dict[str, float]:
    """Gives each pool in turn a load peak and measures idle spare VMs, moves and work done.

    `none` leaves the spare VMs idle. `fixed` divides them among the pools permanently, and
    `fixed_without_failures` does so with spare VMs that never fail. `shared` lends only the VMs that the buffer
    policy does not need, `lent` lends all of them, `at_once` lends all without smoothing of the demand, and
    `no_drain` also with drains that take no time. The `tasks` variants move no VM: spare VMs run the
    checkpointable part of the work of other pools. They ignore the cost of starts and checkpoints, so their
    results are upper bounds.
    """
    driver = WaveDriver(state_machine=StateMachineStandIn.prepare_example(deployment))
    driver.drain_ms = 0 if buffer == "no_drain" else driver.drain_ms
    policy = {"survive_zone": False, "survive_rack": True, "lend": buffer in ("lent", "at_once", "no_drain")}
    driver.state_machine.change_document(driver.state_machine.data | {"buffer": policy})
    rng = random.Random(seed)
    pools = _count_ready(driver, outside="")
    spares = len(driver.state_machine.state.tables.vms) - sum(pools.values())
    demand, smoothed = dict.fromkeys(pools, 0.0), Demand()
    wanted = served = idle_s = moves = 0.0
    failing = ""
    for number in range(rounds):
        # A peak lasts 60 s. Every run has at least five faults of one VM each.
        peak = sorted(pools)[number // 12 % len(pools)]
        demand = {
            pool: size * 0.4 * (PEAK_FACTOR if pool == peak else rng.choice((LOW_FACTOR, 1.0)))
            for pool, size in pools.items()
        }
        if number % 40 == 20:
            failing = rng.choice(sorted(driver.state_machine.state.tables.vms))
            driver.change(failing, VmState.DOWN)
        if number % 40 == 35:
            driver.change(failing, VmState.READY)
        ready = {pool: float(count) for pool, count in _count_ready(driver, outside="").items()}
        working = float(spares if buffer == "fixed_without_failures" else _count_ready_spares(driver))
        if buffer.startswith("fixed"):
            ready = {pool: count + working / len(pools) for pool, count in ready.items()}
        elif buffer in CHECKPOINTABLE:
            ready = _lend_tasks(ready, demand=demand, spares=working, part=CHECKPOINTABLE[buffer])
        elif buffer != "none":
            waiting = {pool: max(0.0, demand[pool] - ready[pool]) * 64 for pool in pools}
            if buffer in ("at_once", "no_drain"):
                smoothed.cores = dict(waiting)
            else:
                smoothed.add_sample(waiting=waiting, now=driver.state_machine.now_ms / 1000)
            for command in decide_lending(driver.state_machine.state, demand=smoothed):
                moves += driver.state_machine.apply(command).failure is None
        work = {pool: min(demand[pool], ready[pool]) for pool in pools}
        # Only work beyond the own VMs of a pool uses the buffer.
        used = sum(max(0.0, work[pool] - pools[pool]) for pool in pools)
        idle_s += max(0.0, spares - used) * ROUND_S
        wanted += sum(demand.values())
        served += sum(work.values())
        driver.run_round()
    prefix = f"{deployment}_buffer_{buffer}"
    return {
        f"{prefix}_idle_vm_h": idle_s / 3600,
        f"{prefix}_served_share": served / wanted,
        f"{prefix}_moves": moves,
    }


def _count_ready_spares(driver: WaveDriver) -> int:
    """Counts the ready spare VMs."""
    state = driver.state_machine.state
    document = state.document()
    spare = {pool.name for pool in document.pools if pool.spare} if document else set()
    return sum(vm.pool in spare and vm.state is VmState.READY for vm in state.tables.vms.values())


def _lend_tasks(
    ready: dict[str, float], *, demand: dict[str, float], spares: float, part: float
) -> dict[str, float]:
    """Assigns spare VMs to the pools with the most waiting work, up to their checkpointable part."""
    lent = dict(ready)
    for pool in sorted(ready, key=lambda name: ready[name] - demand[name]):
        given = min(spares, max(0.0, demand[pool] - ready[pool]), demand[pool] * part)
        lent[pool] += given
        spares -= given
    return lent


def _measure_scale(*, sizes: tuple[int, ...]) -> Iterator[tuple[int, float, float, float]]:
    """Yields size, wave rounds a second, memory of the replicated state in MB and controller round in ms."""
    for size in sizes:
        tracemalloc.start()
        driver = WaveDriver(state_machine=StateMachineStandIn.prepare_example("pantry"))
        pools = sorted({vm.pool for vm in driver.state_machine.state.tables.vms.values()})
        zones = sorted(driver.state_machine.state.tables.zones)
        for number in range(size - 40):
            zone = zones[number % len(zones)]
            rack = f"{zone}-rack-{number // 40}"
            driver.state_machine.register(
                f"vm-{number}", zone=zone, rack=rack, pool=pools[number % len(pools)]
            )
        memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        wave = driver.start()
        rounds, started = 0, time.perf_counter()
        while time.perf_counter() - started < 1.0:
            decide_waves(driver.state_machine.state, now_ms=5000, returned=())
            rounds += 1
        elapsed_s = time.perf_counter() - started
        yield len(wave.vms), rounds / elapsed_s, memory_mb, _time_round(driver, zone=zones[0])


def _time_round(driver: WaveDriver, *, zone: str) -> float:
    """Returns the longest of five controller rounds in ms, with a wave and a withdrawn zone.

    Every proposal is rejected, so the time excludes consensus and each round makes the same decisions.
    """

    async def refuse(*_: Any, **__: Any) -> Result[Outcome, Failure]:
        return Error(Failure(code=ResultCode.NOT_LEADER, message="measurement without a consensus group"))

    driver.state_machine.apply(
        SetZone(zone=zone, status=ZoneStatus.WITHDRAWN, request_id="measure", operator="operator")
    )
    replica: Any = SimpleNamespace(state=driver.state_machine.state)
    submitter: Any = SimpleNamespace(submit=refuse)
    rebooter: Any = SimpleNamespace(reconcile=lambda _: None, returned=())
    controller = FleetController(
        replica=replica,
        submitter=submitter,
        leads=lambda: True,
        clock=time.monotonic,
        now_ms=lambda: driver.state_machine.now_ms,
        rebooter=rebooter,
    )
    longest_s = 0.0
    for _ in range(5):
        started = time.perf_counter()
        asyncio.run(controller.control_once())
        longest_s = max(longest_s, time.perf_counter() - started)
    return longest_s * 1000


__all__ = ["measure"]
