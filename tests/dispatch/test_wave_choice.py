"""Selection of the machines of a maintenance wave."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.wave_choice import WaveCandidate, select_machines


def make_candidate(name, *, pool="a", busy=0, waiting=0, long_running=0):
    return WaveCandidate(
        machine_id=name,
        vm_id=f"vm-{name}",
        pool=pool,
        busy_millis=busy,
        waiting_millis=waiting,
        long_running=long_running,
    )


def select(*candidates, max_added=3, remaining_s=60.0, max_down=3, unavailable=None, size=8):
    selected = select_machines(
        candidates=list(candidates),
        pool_sizes=dict.fromkeys({one.pool for one in candidates}, size),
        unavailable_by_pool=unavailable or {},
        max_added=max_added,
        remaining_s=remaining_s,
        max_down=max_down,
    )
    return [one.machine_id for one in selected]


def test_idle_machines_are_selected_first():
    """Guards against interrupting runs while idle machines of the wave remain."""
    assert select(make_candidate("m1", busy=5000), make_candidate("m2"), max_added=1) == ["m2"]


def test_machines_of_a_pool_with_waiting_tasks_are_selected_only_when_late():
    """Guards against a wave that drains machines of a pool at the peak of its load."""
    busy = make_candidate("m1", busy=5000, waiting=9000)
    assert select(busy) == []
    assert select(busy, remaining_s=5.0) == ["m1"]


def test_machine_with_long_running_tasks_is_selected_in_time_to_stop_them():
    """Guards against a wave that misses its deadline because the tasks of its last VMs are stopped one after another.

    On a play, machines selected 7 s before the deadline were drained up to 12 s later.
    """
    machines = [
        make_candidate("m1", busy=5000, waiting=9000, long_running=4),
        make_candidate("m2", waiting=9000),
    ]
    assert select(*machines, remaining_s=20.0) == []
    assert select(*machines, remaining_s=18.0) == ["m1"]
    assert sorted(select(*machines, remaining_s=5.0)) == ["m1", "m2"]


def test_share_of_a_pool_is_bounded():
    """Guards against a wave that drains most of a pool at once."""
    waiting = [make_candidate(f"m{number}", busy=100) for number in range(6)]
    assert len(select(*waiting, max_added=6, unavailable={"a": 1}, size=8)) == 1


@pytest.mark.parametrize("room", [0, 1, 2])
def test_limit_of_machines_down_is_kept(room):
    """Guards against more machines down than the wave allows."""
    assert len(select(*[make_candidate(f"m{number}") for number in range(9)], max_added=room)) == room
