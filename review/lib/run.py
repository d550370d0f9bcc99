"""Runs a case: starts programs and stand-ins, calls the case, ends everything and gives the exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from cluster import Cluster, Record  # noqa: E402
from standins import Caller, Minion, Provider, World, manifest  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_S = 110.0


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
        self.cluster = Cluster(provider=self.provider.address)
        self.cluster.start()
        self.caller = Caller(self.record, self.cluster.controls, self.cluster.entries)
        if await self.caller.order("PUT", "/hyssopway/config", body=manifest(), for_s=30.0) is None:
            raise NotRun("the first manifest was not acknowledged")
        for options in minions:
            minion = Minion(self.world, controls=self.cluster.controls, service="huvo11a", **options)
            await minion.start()
            self.minions.append(minion)
            self.provider.minions.append(minion)
        await asyncio.sleep(6.0)  # all machines are in touch

    async def stop(self) -> None:
        if self.cluster is not None:
            self.cluster.stop()
        for minion in self.minions:
            await minion.stop()
        await self.provider.stop()


def main(folder: Path, case) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""

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
