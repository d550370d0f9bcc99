"""Short seeded run of the soak, and every seed that ever failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from .soak import Soak
from .truth import Job, Truth

SEEDS = Path(__file__).with_name("seeds.txt")


def read_failed_seeds():
    lines = SEEDS.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


async def test_promises_hold_under_faults_from_outside(tmp_path):
    """Guards against faults of the real programs that tests without processes do not show."""
    report = await Soak(seed=1, folder=tmp_path).run(for_s=8.0)
    assert report.broken == [], report.describe()
    assert report.accepted > 10
    assert report.starts > report.accepted


@pytest.mark.faults
@pytest.mark.parametrize("seed", [2, 3, 4, *read_failed_seeds()])
async def test_promises_hold_in_longer_runs(tmp_path, seed):
    """Guards against faults that need series, and against those that a seed has shown before."""
    report = await Soak(seed=seed, folder=tmp_path).run(for_s=20.0)
    assert report.broken == [], report.describe()


def start(truth, task, run, *, vm="m0-1", is_late=False):
    truth.start(task=task, run=run, vm=vm, is_late=is_late)


@pytest.mark.parametrize(
    ("play", "promise"),
    [
        (lambda truth: (start(truth, "a.0.0.0", 1), start(truth, "a.0.0.0", 2)), "TWICE"),
        (
            lambda truth: (
                start(truth, "a.0.0.0", 1),
                truth.end(task="a.0.0.0", run=1, how="done"),
                start(truth, "a.0.0.0", 1),
            ),
            "TWICE",
        ),
        (lambda truth: start(truth, "a.0.1.0", 1), "ORDER"),
        (lambda truth: start(truth, "b.0.0.0", 1), "UNASKED"),
        (lambda truth: (truth.failures.update({"a.0.0.0": 3}), start(truth, "a.0.0.0", 4)), "BUDGET"),
        (lambda truth: truth.take_state("a", "completed"), "LOST"),
        (lambda truth: truth.take_state("a", "failed"), "LOST"),
        (lambda truth: truth.take_state("a", "cancelled"), "LOST"),
        (lambda truth: (start(truth, "a.0.0.0", 1), truth.check_refused()), "UNASKED"),
    ],
    ids=[
        "copy",
        "run again",
        "early step",
        "unknown",
        "attempts",
        "completed",
        "failed",
        "cancelled",
        "refused",
    ],
)
def test_truth_finds_each_broken_promise(play, promise):
    """Guards against a soak that is green because it sees nothing."""
    truth = Truth(max_attempts=3)
    truth.jobs["a"] = Job(steps=(1, 1), duplicates=False)
    play(truth)
    assert [text.split(":")[0] for text in truth.broken] == [promise]
