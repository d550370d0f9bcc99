"""Set-up of deployments for tests."""

from __future__ import annotations

import subprocess
import sys

import pytest

from hyssopway_standins.processes import Deployment


@pytest.fixture
def short_process():
    """A process that ends after half a second."""
    with subprocess.Popen([sys.executable, "-c", "import time; time.sleep(0.5)"]) as process:
        yield process


async def test_daemon_that_ends_while_it_starts_fails_the_set_up_at_once(tmp_path, short_process):
    """Guards against a set-up that waits for a daemon that cannot become ready any more."""
    deployment = Deployment.prepare(name="pantry", folder=tmp_path)
    daemon = next(iter(deployment.daemons.values()))
    daemon.process = short_process
    with pytest.raises(RuntimeError, match=f"{daemon.name} has ended"):
        await deployment.wait_ready()
