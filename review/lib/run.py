"""Runs a case: starts programs and stand-ins, calls the case, ends everything and gives the exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from cluster import Cluster, Record  # noqa: E402
from standins import Caller, Minion, Provider, World, manifest  # noqa: E402

# `run.sh` turns 10 into 1, and all but 0 and 10 into 2: Python itself exits with 1 after an error.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
LONGEST_S = 95.0
START_ATTEMPTS = 2
START_S = 10.0


class NotRun(Exception):
    """The case could not be brought about."""


class Bed:
    """All that a case uses."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.world = World(self.record)
        self.provider = Provider()
        self.minions: list[Minion] = []
        self.is_troubled = os.environ.get("TROUBLE", "1") != "0"
        self.cluster: Cluster | None = None

    async def start(self, *, minions: list[dict]) -> None:
        await self.provider.start()
        await self._start_programs()
        self.caller = Caller(self.record, self.cluster.controls, self.cluster.entries)
        if await self.caller.order("PUT", "/hyssopway/config", body=manifest(), for_s=30.0) is None:
            raise NotRun("the first manifest was not acknowledged")
        for options in minions:
            minion = Minion(self.world, controls=self.cluster.controls, service="huvo11a", **options)
            await minion.start()
            self.minions.append(minion)
            self.provider.minions.append(minion)
        await asyncio.sleep(6.0)  # all machines are in touch

    async def _start_programs(self) -> None:
        """Starts the programs until all listen; what was wrong is written down."""
        for _ in range(START_ATTEMPTS):
            self.cluster = Cluster(provider=self.provider.address)
            self.cluster.start()
            deadline = time.monotonic() + START_S
            waiting = [*self.cluster.controls, *self.cluster.entries]
            while waiting and time.monotonic() < deadline:
                waiting = [node for node in waiting if not await listens(node)]
                await asyncio.sleep(0.2)
            if not waiting:
                return
            self.record.write(f"not listening after {START_S} s: {[node.name for node in waiting]}")
            self._stop_programs()
        raise NotRun("the programs did not start")

    async def stop(self) -> None:
        self._stop_programs()
        for minion in self.minions:
            await minion.stop()
        await self.provider.stop()

    def _stop_programs(self) -> None:
        if self.cluster is not None:
            for node in (*self.cluster.controls, *self.cluster.entries):
                if node.process is not None and node.process.poll() is not None:
                    last = [line.get("message", "") for line in node.log_lines()[-3:]]
                    self.record.write(f"{node.name} has ended by itself with {node.process.poll()}: {last}")
            self.cluster.stop()
            self.cluster = None


async def listens(node) -> bool:
    """Returns whether a program accepts connections."""
    try:
        _, writer = await asyncio.wait_for(asyncio.open_connection(node.host, node.cluster.http_port), 1.0)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def main(folder: Path, case) -> None:
    """Runs a case and exits with 10 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    # All processes are ended also if the script is told to end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def run() -> int:
        bed = Bed(folder)
        try:
            async with asyncio.timeout(LONGEST_S):
                problem = await case(bed)
        except (NotRun, TimeoutError) as error:
            bed.record.write(f"NOT RUN: {error!r}")
            print(f"not run: {error!r}")
            return COULD_NOT_RUN
        except Exception:
            bed.record.write(f"NOT RUN: {traceback.format_exc()}")
            traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            await bed.stop()
        bed.record.write(f"RULE BROKEN: {problem}" if problem else "the rule held")
        print(f"rule broken: {problem}" if problem else "the rule held")
        return BROKEN if problem else HELD

    sys.exit(asyncio.run(run()))
