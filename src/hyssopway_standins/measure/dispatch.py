"""Measures the CPU cost of a leader's decisions by fleet size.

Runs the real dispatcher, pool measurement and VM links over a replicated state in memory, with VMs that accept
every order. Times are CPU time of this process, which other load on the machine affects little.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, fields
from typing import TYPE_CHECKING, Any

import numpy as np

from hyssopway.clock import wall_ms
from hyssopway.dispatch import ListedRun, OrderReply, PlatformLimits, PollReply
from hyssopway.dispatch.admission_control import WARM_UP_S, AdmissionControl
from hyssopway.dispatch.demand_forecast import DemandForecast
from hyssopway.dispatch.dispatcher import Dispatcher
from hyssopway.dispatch.duration_scale import DurationScale
from hyssopway.dispatch.poll_rate_limiter import PollRateLimiter
from hyssopway.dispatch.pool_load import measure_pools
from hyssopway.dispatch.rtt_estimator import RttEstimator
from hyssopway.dispatch.vm_link import VmLink
from hyssopway.scheduling.interference import InterferenceModel
from hyssopway.workflow import (
    AcceptWorkflow,
    Capacity,
    FleetDocument,
    PoolPolicy,
    PutDocument,
    Queue,
    RegisterVm,
    Step,
    TeamPolicy,
    WorkflowSpec,
    WorkflowState,
    encode_command,
)

from .measurement import Measurement, Series

if TYPE_CHECKING:
    from collections.abc import Callable

    from hyssopway.workflow import Command, VmRecord

SIZES = (30, 100, 300, 1000, 4000)
QUICK_SIZES = (30, 100)
POOLS = 4
CORES_A_VM = 64
TASKS_A_WORKFLOW = 8
CORES_A_TASK = 8
# Share of the cores of the fleet that is in use before a round is measured.
BUSY_SHARE = 0.5
# Tasks submitted for the measured round.
ROUND_STARTS = 200
REPEATS = 5
TEAMS = 20
# Tasks that wait in a full fleet.
WAITING_TASKS = 2000


class InMemoryLeadership:
    """Leadership whose commands apply immediately, without a log."""

    def __init__(self) -> None:
        self.state = WorkflowState()
        self.term = 1
        self.started_at = 0.0
        self.holds = True
        self.now = 0.0

    def clock(self) -> float:
        """Returns the fake local time."""
        return self.now

    def may_order(self) -> bool:
        """Allows every order."""
        return True

    async def propose(self, command: Command) -> None:
        """Applies a command in the encoding of the log."""
        self.state.apply(index=self.state.applied_index + 1, data=encode_command(command))


class AcceptingVms:
    """VMs that accept every order and list their runs."""

    def __init__(self) -> None:
        self.listed_runs: dict[str, list[ListedRun]] = {}

    async def poll(self, *, vm: VmRecord, **_: Any) -> PollReply:
        """Returns the runs of a VM."""
        running = tuple(self.listed_runs.get(vm.vm_id, ()))
        return PollReply(clock_ms=0, boot=vm.boot, running=running, ends=(), is_complete=True)

    async def start(self, *, vm: VmRecord, task: str, run: int, **_: Any) -> OrderReply:
        """Starts a run."""
        self.listed_runs.setdefault(vm.vm_id, []).append(ListedRun(task, run, "", 50, 0))
        return OrderReply()


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """CPU time at one fleet size, in milliseconds.

    Attributes:
        vms: Number of VMs.
        start_ms: One start, from its placement to the response of the VM.
        empty_round_ms: One scheduling round with no work.
        look_ms: One poll of a VM without changes. The field name is a key of the results.
        pools_ms: One measurement of all pools and their demand.
        admission_ms: One decision on a submitted job beside these tasks, with a new collection of the backlog.
        known_backlog_ms: One such decision with the backlog known.
        full_round_ms: One scheduling round with a full fleet and `WAITING_TASKS` waiting tasks of all teams.
    """

    vms: int
    start_ms: float
    empty_round_ms: float
    look_ms: float
    pools_ms: float
    full_round_ms: float
    admission_ms: float
    known_backlog_ms: float


def measure(*, seed: int, quick: bool) -> Measurement:
    """Measures the costs at several sizes; the measurement is deterministic and ignores the seed."""
    costs = [asyncio.run(_measure_size(vms)) for vms in (QUICK_SIZES if quick else SIZES)]
    figures: dict[str, float] = {}
    series: list[Series] = []
    for name in (field.name for field in fields(Cost) if field.name != "vms"):
        points = [(float(cost.vms), float(getattr(cost, name))) for cost in costs]
        label = name.removesuffix("_ms").replace("_", " ")
        figures |= {f"{label} at {vms:.0f} VMs ms": value for vms, value in points}
        figures[f"{label}, exponent over the fleet"] = growth_exponent(points)
        series.append(Series(name=label, x_label="VMs", y_label="processor time in ms", points=points))
    return Measurement(area="dispatch", figures=figures, series=series)


def growth_exponent(points: list[tuple[float, float]]) -> float:
    """Returns the slope of a line through the logarithms: 0 for a constant cost, 1 for a linear one."""
    x, y = np.log(np.array(points, dtype=float)).T
    return float(np.polyfit(x, y, 1)[0])


async def _measure_size(vms: int) -> Cost:
    leadership, calls = InMemoryLeadership(), AcceptingVms()
    await _register_vms(leadership, vms=vms)
    links: dict[str, VmLink] = {}
    dispatcher = Dispatcher(leadership=leadership, links=links)  # type: ignore[arg-type]
    for vm_id in leadership.state.tables.vms:
        links[vm_id] = _create_link(vm_id, leadership=leadership, calls=calls, dispatcher=dispatcher)
        await links[vm_id].poll()
    running = round(vms * CORES_A_VM * BUSY_SHARE / CORES_A_TASK)
    await _submit_workflows(leadership, tasks=running, name="run")
    await _run_round(dispatcher)
    while sum(dispatcher.waiting_millis.values()):
        await _run_round(dispatcher)
    for link in links.values():
        await link.poll()
    empty_round_ms = await _time(lambda: _run_round(dispatcher))
    first = next(iter(links.values()))
    look_ms = await _time(first.poll)
    forecast = DemandForecast(ahead_s=2.0, scale=lambda _: 1.0)

    async def measure_all() -> None:
        tables, indexes = leadership.state.tables, leadership.state.indexes
        measure_pools(tables=tables, waiting_millis={})
        forecast.update(tables=tables, indexes=indexes, now_ms=0)

    pools_ms = await _time(measure_all)
    await _submit_workflows(leadership, tasks=ROUND_STARTS, name="new")
    running = len(leadership.state.tables.runs)
    before = time.process_time()
    await _run_round(dispatcher)
    # A small fleet does not have capacity for all submitted tasks, so only the actual starts are counted.
    start_ms = (time.process_time() - before) * 1000 / (len(leadership.state.tables.runs) - running)
    free = round(vms * CORES_A_VM / CORES_A_TASK) - len(leadership.state.tables.runs)
    await _submit_workflows(leadership, tasks=max(0, free) + WAITING_TASKS, name="wait")
    waiting: dict[str, int] = {}
    await _run_round(dispatcher)
    while waiting != dispatcher.waiting_millis:
        waiting = dispatcher.waiting_millis
        await _run_round(dispatcher)
    full_round_ms = await _time(lambda: _run_round(dispatcher))
    admission_ms, known_backlog_ms = await _time_admission(leadership, links=links)
    return Cost(
        vms=vms,
        start_ms=start_ms,
        empty_round_ms=empty_round_ms,
        look_ms=look_ms,
        pools_ms=pools_ms,
        full_round_ms=full_round_ms,
        admission_ms=admission_ms,
        known_backlog_ms=known_backlog_ms,
    )


async def _time_admission(leadership: InMemoryLeadership, *, links: dict[str, VmLink]) -> tuple[float, float]:
    leadership.now = WARM_UP_S
    admission = AdmissionControl(
        leadership=leadership,  # type: ignore[arg-type]
        links=links,
        scale=DurationScale(),
        list_arriving=lambda _: [],
        counters=Counter(),
    )
    queue = next(iter(leadership.state.indexes.queues.values()))
    spec = _create_spec()

    async def decide() -> None:
        admission.check(workflow_id="job", spec=spec, queue=queue, team="team-0")
        admission.proposed.clear()

    async def collect_and_decide() -> None:
        admission.collected_at = float("-inf")
        await decide()

    return await _time(collect_and_decide), await _time(decide)


async def _time(work: Callable[[], Any]) -> float:
    """Returns the shortest CPU time of several repeats, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        before = time.process_time()
        await work()
        times.append((time.process_time() - before) * 1000)
    return min(times)


async def _run_round(dispatcher: Dispatcher) -> None:
    await dispatcher.run_round()
    while dispatcher.sending:
        await asyncio.gather(*dispatcher.sending)
        await asyncio.sleep(0)


async def _register_vms(leadership: InMemoryLeadership, *, vms: int) -> None:
    pools = [f"pool-{number}" for number in range(POOLS)]
    queues = tuple(
        Queue(
            name=f"queue-{pool}",
            host="a.example",
            path_prefix=f"/{pool}/",
            pool=pool,
            priority=1,
            target_latency_ms=60_000,
        )
        for pool in pools
    )
    document = FleetDocument(
        version=1,
        queues=queues,
        pools=tuple(PoolPolicy(name=pool) for pool in pools),
        teams=tuple(TeamPolicy(name=f"team-{number}", keys=()) for number in range(TEAMS)),
        max_body_bytes=1,
        source="",
    )
    await leadership.propose(PutDocument(document=document))
    capacity = Capacity(cpu_millis=CORES_A_VM * 1000, memory_mb=128_000)
    for number in range(vms):
        await leadership.propose(
            RegisterVm(
                vm=f"vm-{number}",
                boot=1,
                address="10.0.0.1:80",
                pool=pools[number % POOLS],
                zone=f"zone-{number % 3}",
                labels=("a", f"r{number // 20}"),
                capacity=capacity,
                draining=False,
                at_ms=0,
            )
        )


async def _submit_workflows(leadership: InMemoryLeadership, *, tasks: int, name: str) -> None:
    spec = _create_spec()
    for number in range(tasks // TASKS_A_WORKFLOW):
        await leadership.propose(
            AcceptWorkflow(
                workflow_id=f"{name}{number}",
                queue=f"queue-pool-{number % POOLS}",
                team=f"team-{number % TEAMS}",
                spec=spec,
                at_ms=wall_ms(),
            )
        )


def _create_spec() -> WorkflowSpec:
    step = Step(count=TASKS_A_WORKFLOW, cpu_millis=CORES_A_TASK * 1000, memory_mb=500, estimate_ms=1000)
    return WorkflowSpec(specification="", steps=(step,))


def _create_link(
    vm_id: str, *, leadership: InMemoryLeadership, calls: AcceptingVms, dispatcher: Dispatcher
) -> VmLink:
    limits = PlatformLimits(
        longest_lease_s=10.0,
        stop_s=0.4,
        machine_lease_s=3.0,
        maintenance_s=2.0,
        move_s=1.5,
        machine_orders_per_s=64.0,
        pacing_s=0.1,
        status_s=120.0,
    )
    return VmLink(
        vm_id=vm_id,
        leadership=leadership,  # type: ignore[arg-type]
        calls=calls,  # type: ignore[arg-type]
        limits=limits,
        scale=DurationScale(),
        poll_limiter=PollRateLimiter(),
        rtt_estimator=RttEstimator(),
        interference=InterferenceModel(),
        tickets=dispatcher.tickets,
        on_change=lambda: None,
    )


__all__ = ["growth_exponent", "measure"]
