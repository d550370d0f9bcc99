"""Tests of ending runs whose home is out of contact."""

from __future__ import annotations

import pytest

from hyssopway.control.command import PromoteDocument, TrialDocument
from hyssopway.control.record import JobStatus, VmState
from hyssopway.job import HomeMonitor
from hyssopway.job.home_monitor import MARK_DOWN_AFTER_S
from states import DOCUMENT, ManualClock, make_submitter

# Sum of the default cut_off_run_s, the worker's lease and the margin.
ALLOWED_S = 120 + 4 + 5


@pytest.mark.parametrize(
    ("contact_at", "leads_at", "freeze", "lost"),
    [
        (None, 0.0, False, True),
        (50.0, 0.0, False, False),
        (None, 50.0, False, False),
        (None, 0.0, True, False),
    ],
    ids=["silent", "in contact", "new leader", "leader was suspended"],
)
async def test_runs_end_only_after_every_lease_has_expired(contact_at, leads_at, freeze, lost):
    """Guards against starting a second run while a cut-off home still renews the lease of the first."""
    submitter = make_submitter()
    submitter.register("vm", home="h2")
    submitter.accept("job")
    submitter.start("job", "vm")
    clock = ManualClock(now=0.0)
    contacts: dict[str, float] = {}
    homes = HomeMonitor(
        own_name="h1",
        replica=submitter.replica,
        submitter=submitter,  # type: ignore[arg-type]
        contacts=contacts,
        leads=lambda: clock.now >= leads_at,
        clock=clock,
    )
    while clock.now <= ALLOWED_S + 1:
        if contact_at is not None and clock.now >= contact_at:
            contacts.setdefault("h2", clock.now)
        await homes.check()
        before_expiry = clock.now <= ALLOWED_S
        job, vm = submitter.state.tables.jobs["job"], submitter.state.tables.vms["vm"]
        assert not before_expiry or job.status is JobStatus.RUNNING
        out_of_contact = contact_at is None or clock.now < contact_at
        if leads_at + MARK_DOWN_AFTER_S + 1 < clock.now and out_of_contact and not freeze:
            assert vm.state is VmState.DOWN
        clock.now += 60.0 if freeze else 0.5
    assert (job.status is JobStatus.PENDING) is lost


async def test_lowered_cut_off_time_does_not_apply_to_a_home_already_cut_off():
    """Guards against a second run while a cut-off home still renews leases under the previous document."""
    submitter = make_submitter()
    submitter.register("vm", home="h2")
    submitter.accept("job")
    submitter.start("job", "vm")
    clock = ManualClock(now=0.0)
    homes = HomeMonitor(
        own_name="h1",
        replica=submitter.replica,
        submitter=submitter,  # type: ignore[arg-type]
        contacts={},
        leads=lambda: True,
        clock=clock,
    )
    await homes.check()
    text = DOCUMENT.replace("cut_off_run_s: 120", "cut_off_run_s: 10")
    digest = submitter.apply_or_fail(
        TrialDocument(text=text, expected_generation=1, request_id="t2", operator="o")
    ).reference
    submitter.apply_or_fail(
        PromoteDocument(digest=digest, expected_generation=1, request_id="p2", operator="o")
    )
    lost_at = 0.0
    while not lost_at and clock.now < 2 * ALLOWED_S:
        clock.now += 0.5
        await homes.check()
        lost_at = clock.now if submitter.state.tables.jobs["job"].status is JobStatus.PENDING else 0.0
    assert ALLOWED_S < lost_at <= ALLOWED_S + 2
