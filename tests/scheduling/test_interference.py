"""Interference between pairs of images, learned from replays of serving tasks under pace control on several VMs."""

from __future__ import annotations

import random
from math import exp
from types import SimpleNamespace

import pytest

from dispatch.test_placement import make_free_capacity, make_ready, place_ready
from hyssopway.dispatch import ListedRun
from hyssopway.dispatch.vm_pace import VmPace
from hyssopway.scheduling.image_interference import MAX_NEIGHBOURS
from hyssopway.scheduling.interference import FIRST_PERCENT, MAX_SERVING_IMAGES, InterferenceModel
from hyssopway.scheduling.latency_sample import LatencySample
from hyssopway.workflow import Step

TARGET_MS = 100
POLL_INTERVAL_S = 0.25
MEMORY_MB = 40_000  # two best-effort tasks fit on a VM
SERVING = ("desk", "till")
BEST_EFFORT = ("batch", "index")
STEPS = [Step(count=1, image=image, target_ms=TARGET_MS, long_running=True) for image in SERVING] + [
    Step(count=1, image=image, fills=True, memory_mb=MEMORY_MB) for image in BEST_EFFORT
]
HARMLESS = dict.fromkeys([(serving, image) for serving in SERVING for image in BEST_EFFORT], 1.0)
# The batch image raises the tail of one serving image far over its target, and that of the other not at all.
DISTURBING = HARMLESS | {("desk", "batch"): 10.0}


class SimulatedVm:
    """A VM with one latency-bound run, whose tail grows with the paces of the last two polls."""

    def __init__(self, *, serving, leadership, interference):
        self.serving = serving
        self.load = 1.0
        self.paces = {}
        orders = SimpleNamespace(vm_id="vm", paces=self.paces, request_pace=self.set_pace)
        self.pace = VmPace(leadership=leadership, orders=orders, interference=interference, pacing_s=0.1)
        self.neighbours = {}
        self.rises = [1.0, 1.0]

    def set_pace(self, *, task, run, percent):
        self.paces[f"{task}/{run}"] = percent

    def poll(self, *, base_ms, factors, now):
        rise = 1.0
        for key, image in self.neighbours.items():
            rise *= 1 + (factors[self.serving, image] - 1) * self.paces.setdefault(key, 100) / 100
        self.rises = [self.rises[1], rise]
        rows = [ListedRun(key.partition("/")[0], 1, "", 10, 500) for key in self.neighbours]
        tail_ms = round(base_ms * self.load * sum(self.rises) / 2)
        rows.append(ListedRun(f"w.0.{SERVING.index(self.serving)}.0", 1, "", 100, tail_ms))
        self.pace.update({f"{row.task}/{row.run}": row for row in rows}, now=now)


class Replay:
    """Latency-bound runs on eight VMs, beside best-effort runs that come, are placed, and go."""

    def __init__(self, *, factors, base_ms=60, seed=1, enabled=True):
        self.random = random.Random(seed)
        self.now = 0.0
        self.factors = factors
        self.base_ms = base_ms
        self.model = InterferenceModel(is_enabled=enabled)
        self.started = 0
        self.found = []
        self.known = set()
        usage = SimpleNamespace(best_effort=1, latency_bound=1)
        tables = SimpleNamespace(workflows={"w": SimpleNamespace(spec=SimpleNamespace(steps=STEPS))}, runs={})
        state = SimpleNamespace(indexes=SimpleNamespace(vm_usage={"vm": usage}), tables=tables)
        leadership = SimpleNamespace(clock=lambda: self.now, state=state, term=1)
        self.vms = {
            f"vm-{number}": SimulatedVm(
                serving=SERVING[number % 2], leadership=leadership, interference=self.model
            )
            for number in range(8)
        }

    def play(self, seconds):
        """Plays polls and arrivals, and returns the seconds that serving runs were over their target."""
        until = self.now + seconds
        while self.now < until:
            if self.random.random() < 0.4:
                self._place(self.random.randrange(len(BEST_EFFORT)))
            for vm in self.vms.values():
                for key in [key for key in vm.neighbours if self.random.random() < 0.03]:
                    del vm.neighbours[key]
                # The load of each serving task drifts, and readings scatter.
                vm.load = 1 + 0.95 * (vm.load - 1) + self.random.gauss(0, 0.04)
                base_ms = self.base_ms(self.now) if callable(self.base_ms) else self.base_ms
                vm.poll(base_ms=base_ms * exp(self.random.gauss(0, 0.1)), factors=self.factors, now=self.now)
            self.now += POLL_INTERVAL_S
            self.known |= {(*pair, effect) for pair, effect in self.effects().items() if effect != "unknown"}
            self.found += [finding[:2] for finding in self.model.take_new_findings(self.now)]
        return self.model.counters["serving_over_target_beside_best_effort_ms"] / 1000

    def _place(self, image):
        known_pairs = self.model.find_known_pairs(self.now)
        free = [
            make_free_capacity(
                name,
                serving=1,
                best_effort=len(vm.neighbours),
                latency_bound_images=(vm.serving,),
                best_effort_images=tuple(vm.neighbours.values()),
                known_pairs=known_pairs,
            )
            for name, vm in self.vms.items()
        ]
        for one in free:
            one.memory_mb -= MEMORY_MB * one.best_effort
        for _, name in place_ready(make_ready(STEPS[len(SERVING) + image]), vms=free):
            self.started += 1
            self.vms[name].neighbours[f"w.0.{len(SERVING) + image}.{self.started}/1"] = BEST_EFFORT[image]

    def effects(self):
        images = self.model.dump()["images"]
        return {
            (serving, image): pair["effect"]
            for serving, dumped in images.items()
            for image, pair in dumped["pairs"].items()
        }


@pytest.mark.parametrize("seed", range(4))
def test_disturbing_pair_is_found_and_kept_apart(seed):
    """Guards against best-effort tasks beside the image that they slow while other VMs have room for them."""
    on = Replay(factors=DISTURBING, seed=seed)
    off = Replay(factors=DISTURBING, seed=seed, enabled=False)
    assert on.play(60) < off.play(60)
    for replay in (on, off):
        assert set(replay.found) == {("desk", "batch")}
        assert replay.model.counters["interference_pairs_found"] == len(replay.found)


@pytest.mark.parametrize(
    "base_ms",
    [
        pytest.param(60, id="within target"),
        pytest.param(180, id="always over target"),
        pytest.param(lambda now: 150 if 8 <= now % 16 < 12 else 55, id="bursts over target"),
    ],
)
@pytest.mark.parametrize("seed", range(4))
def test_own_load_is_not_taken_for_interference(base_ms, seed):
    """Guards against best-effort tasks that are kept off an image which misses its target by its own load."""
    replay = Replay(factors=HARMLESS, base_ms=base_ms, seed=seed)
    replay.play(30)
    assert replay.found == []


@pytest.mark.parametrize("seed", range(4))
def test_pairs_that_do_not_disturb_are_known(seed):
    """Guards against serving tasks that avoid harmless neighbours for ever."""
    # Placement that uses the estimates prefers pairs known to be harmless, so that others may never meet.
    replay = Replay(factors=HARMLESS, seed=seed, enabled=False)
    replay.play(30)
    assert replay.known == {(*pair, "harmless") for pair in HARMLESS}


def test_interference_that_ends_is_forgotten():
    """Guards against images that are kept apart long after their interference has ended."""
    replay = Replay(factors=DISTURBING)
    replay.play(20)
    replay.factors = HARMLESS
    replay.play(60)
    assert replay.effects()["desk", "batch"] != "disturbs"


@pytest.mark.parametrize(
    ("effect", "expected"),
    [
        pytest.param(True, "other", id="disturbing neighbour comes after an unknown one"),
        pytest.param(False, "shared", id="harmless neighbour is no reason to avoid the VM"),
        pytest.param(None, "other", id="unknown neighbour counts as today"),
    ],
)
def test_known_pairs_decide_between_vms_that_fit(effect, expected):
    """Guards against a known effect that does not reach the placement of serving tasks, and of best-effort tasks."""
    pairs = {} if effect is None else {("desk", "batch"): effect}

    def place(step, **neighbours):
        vms = [make_free_capacity("shared", cpu=9_000, known_pairs=pairs, **neighbours)]
        other = {"best_effort": 1, "best_effort_images": ("other",)} if effect else {}
        vms.append(make_free_capacity("other", known_pairs=pairs, **other))
        return [vm for _, vm in place_ready(make_ready(step), vms=vms)]

    assert place(STEPS[0], best_effort=1, best_effort_images=("batch",)) == [expected]
    assert place(STEPS[2], serving=1, latency_bound_images=("desk",)) == [expected]


def test_task_does_not_wait_for_a_better_neighbour():
    """Guards against a task that waits although a VM fits it, because its neighbour there disturbs."""
    pairs = {("desk", "batch"): True}
    vm = {"best_effort": 1, "best_effort_images": ("batch",), "known_pairs": pairs}
    assert len(place_ready(make_ready(STEPS[0]), vms=[make_free_capacity("only", **vm)])) == 1
    vm = {"serving": 1, "latency_bound_images": ("desk",), "known_pairs": pairs}
    assert len(place_ready(make_ready(STEPS[2]), vms=[make_free_capacity("only", **vm)])) == 1


def test_tasks_of_one_round_are_kept_apart():
    """Guards against a disturbing pair that meets on a VM because both were placed in the same round."""
    pairs = {("desk", "batch"): True}
    vms = [make_free_capacity(name, known_pairs=pairs) for name in ("vm-1", "vm-2")]
    placed = place_ready(make_ready(STEPS[0]), make_ready(STEPS[2], name="v"), vms=vms)
    assert len({vm for _, vm in placed}) == 2


def test_initial_pace_follows_the_known_effect():
    """Guards against harmless tasks that start at half their pace, and disturbing ones that start too fast."""
    replay = Replay(factors=DISTURBING)
    replay.play(20)
    for pair, allowed in ((("till", "batch"), {100}), (("desk", "batch"), range(FIRST_PERCENT))):
        percent = replay.model.initial_percent(
            [pair], targets_ms=dict.fromkeys(SERVING, TARGET_MS), now=replay.now
        )
        assert percent in allowed


def test_size_is_bounded():
    """Guards against a leader whose memory grows with the number of images."""
    model = InterferenceModel()
    for number in range(100):
        sample = LatencySample(image=f"image-{number}", target_ms=TARGET_MS, tail_ms=50)
        exposures = {f"batch-{one}": 1.0 for one in range(number % 20)}
        model.learn(sample, exposures=exposures, elapsed_s=1.0, now=float(number))
        model.take_new_findings(float(number))
    assert len(model.images) == MAX_SERVING_IMAGES
    for image in model.images.values():
        assert len(image.pairs) <= MAX_NEIGHBOURS
        assert len(image.moments) == 2 + len(image.pairs)
