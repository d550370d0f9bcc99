"""Order of the machines of a maintenance wave."""

from __future__ import annotations

import pytest

from hyssopway.dispatch.wave_choice import Candidate, choose_machines


def candidate(name, *, pool="a", busy=0, waiting=0):
    return Candidate(machine_id=name, vm_id=f"vm-{name}", pool=pool, busy_millis=busy, waiting_millis=waiting)


def choose(*candidates, room=3, left_s=60.0, max_down=3, closed=None, size=8):
    chosen = choose_machines(
        candidates=list(candidates),
        pool_sizes=dict.fromkeys({one.pool for one in candidates}, size),
        closed_by_pool=closed or {},
        room=room,
        left_s=left_s,
        max_down=max_down,
    )
    return [one.machine_id for one in chosen]


def test_machines_without_work_go_first():
    """Guards against work that is interrupted while idle machines wait."""
    assert choose(candidate("m1", busy=5000), candidate("m2"), room=1) == ["m2"]


def test_pool_with_waiting_work_keeps_its_machines_until_the_wave_is_late():
    """Guards against a wave that takes machines at the peak of their queue."""
    busy = candidate("m1", busy=5000, waiting=9000)
    assert choose(busy) == []
    assert choose(busy, left_s=5.0) == ["m1"]


def test_share_of_a_pool_is_bounded():
    """Guards against a pool that is emptied by a wave."""
    waiting = [candidate(f"m{number}", busy=100) for number in range(6)]
    assert len(choose(*waiting, room=6, closed={"a": 1}, size=8)) == 1


@pytest.mark.parametrize("room", [0, 1, 2])
def test_limit_of_the_wave_holds(room):
    """Guards against more machines down than the operators allow."""
    assert len(choose(*[candidate(f"m{number}") for number in range(9)], room=room)) == room
