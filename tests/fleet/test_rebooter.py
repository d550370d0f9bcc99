"""Tests of reboots when the platform client raises an unexpected exception."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from hyssopway.control.record import WaveVmStatus
from hyssopway.fleet.rebooter import Rebooter
from hyssopway_standins.state_machine import StateMachineStandIn
from hyssopway_standins.wave_driver import WaveDriver


class BrokenClient:
    """Raises instead of returning a failure."""

    async def complete(self, **_):
        raise AttributeError("sending")


@pytest.fixture
def rebooting():
    """State of a wave whose first VM is being rebooted by the platform."""
    driver = WaveDriver(
        state_machine=StateMachineStandIn.prepare_example("pantry"), failing_reboots={"pickup-vm-1"}
    )
    wave = driver.start("pickup")
    while not wave.count(WaveVmStatus.REBOOTING):
        driver.run_round()
    return driver.state_machine.state


async def test_exception_in_a_reboot_is_logged_and_the_reboot_retried(rebooting):
    """Guards against a wave that stalls without a log line because its reboot task raises each time."""
    lines = []
    sink = logger.add(lines.append, level="ERROR")
    rebooter = Rebooter(platform=BrokenClient())
    for _ in range(3):
        rebooter.reconcile(rebooting)
        await asyncio.gather(*rebooter.tasks.values(), return_exceptions=True)
    logger.remove(sink)
    assert len([line for line in lines if "task reboot" in line and "sending" in line]) == 2
    assert len(rebooter.tasks) == 1
