"""Demonstrates a whole deployment on loopback: ``python -m hyssopway_standins.demo``."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from hyssopway.document import QueueAccess

from .command_line import CommandLine
from .fleet import EXAMPLES, load_example_document
from .fleet_stand_in import FleetStandIn
from .processes import Deployment
from .summary import Summary

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from hyssopway.document import Service

    from .command_line import CommandResult

JOBS = 6
MAX_KEY_WITHDRAWAL_S = 5.0
MAX_ACTIVATION_S = 16.0
CONDITION_TIMEOUT_S = 10.0
SHOWN_LINES = 16


class Demo:
    """Demonstrates a deployment step by step and compares each result with the expected one.

    Attributes:
        deployment: Daemons of the deployment.
        fleet_stand_in: Endpoints and workers.
        session: HTTP client of the callers.
        cli: Runs `hyssopway` commands.
        summary: Expected and actual results.
    """

    def __init__(
        self, *, deployment: Deployment, fleet_stand_in: FleetStandIn, session: aiohttp.ClientSession
    ) -> None:
        self.deployment = deployment
        self.fleet_stand_in = fleet_stand_in
        self.session = session
        self.cli = CommandLine(deployment=deployment)
        self.summary = Summary()
        self.document = load_example_document(deployment.name)
        self.path = str(EXAMPLES / deployment.name / "document.yaml")
        self.team = self.document.teams[0].name
        self.key = ""

    async def run(self) -> None:
        """Runs all steps in order."""
        for title, step in (
            ("Document", self.activate_document),
            ("Endpoints and workers start", self.fleet_stand_in.start),
            ("Key", self.grant_key),
            ("Requests", self.call_services),
            ("Jobs", self.run_jobs),
            ("Key withdrawn", self.withdraw_key),
            ("Zone withdrawn", self.withdraw_zone),
            ("Daemon killed", self.kill_daemon),
            ("Processes", self.show_processes),
        ):
            print(f"\n{title}")
            await step()

    async def activate_document(self) -> None:
        """Checks the example document, runs it in trial and promotes it."""
        await self.expect("check", self.path)
        await self.expect("promote", self.path, status=3)
        await self.expect("trial", self.path)
        started = time.monotonic()
        await self.expect("promote", self.path, "--wait")
        self.summary.compare_limit(
            "seconds to be in force", at_most=MAX_ACTIVATION_S, found=time.monotonic() - started
        )

    async def grant_key(self) -> None:
        """Grants a key to the first team."""
        granted = await self.expect("keys", "grant", self.team)
        self.key = granted.stdout.strip()

    async def call_services(self) -> None:
        """Calls an open, a keyed and a non-idempotent service through every entry VM."""
        for kind, service in self._pick_services().items():
            # An entry VM rejects requests with NO_ENDPOINT until the first endpoint has registered with it.
            await self._wait_served(service)
            answers = [
                await self._call(service, url=daemon.url, tag=f"resent-{kind}")
                for daemon in self.deployment.daemons.values()
            ]
            self.summary.compare(
                f"answers of {service.name} ({kind}) through every entry",
                expected=6,
                found=answers.count(200),
            )
            if not service.idempotent:
                runs = sum(
                    endpoint.request_counts[f"resent-{kind}"]
                    for endpoint in self.fleet_stand_in.endpoints.values()
                )
                self.summary.compare(
                    f"runs of one {service.name} request sent 6 times", expected=1, found=runs
                )
            if service.access is QueueAccess.KEYED:
                refused = await self._call(service, url=self._url(0), tag="no-key", key="")
                self.summary.compare(
                    f"HTTP status of {service.name} without key", expected=401, found=refused
                )

    async def run_jobs(self) -> None:
        """Submits jobs through all entry VMs and runs `explain` for one of them."""
        jobs = await self.submit_jobs()
        self.summary.compare("jobs done", expected=JOBS, found=await self._count_done(jobs))
        explained = await self.expect("explain", "job", jobs[0], "--json")
        history = json.loads(explained.stdout or "{}").get("history", [])
        self.summary.compare(
            "explanation names the run", expected=True, found=any("run 1" in h for h in history)
        )

    async def withdraw_key(self) -> None:
        """Withdraws a key and measures the time until every entry VM rejects it."""
        service = self._pick_services()["keyed"]
        second = (await self.expect("keys", "grant", self.team)).stdout.strip()
        await self._wait_served(service, key=second)
        started = time.monotonic()
        await self.expect("keys", "withdraw", second.split("_")[1])
        urls = [daemon.url for daemon in self.deployment.daemons.values()]

        async def refused_everywhere() -> bool:
            answers = [await self._call(service, url=url, tag="late", key=second) for url in urls]
            return set(answers) == {403}

        await _wait_until(refused_everywhere)
        found = time.monotonic() - started
        self.summary.compare_limit(
            "seconds until a withdrawn key stops", at_most=MAX_KEY_WITHDRAWAL_S, found=found
        )

    async def withdraw_zone(self) -> None:
        """Withdraws a zone, runs jobs in the other zones and restores the zone."""
        zone = self.document.zones[-1]
        await self.expect("zones", "withdraw", zone, "--wait")
        before = self._starts_in(zone)
        jobs = await self.submit_jobs()
        self.summary.compare(
            "jobs done while a zone is out", expected=JOBS, found=await self._count_done(jobs)
        )
        self.summary.compare(f"starts in {zone} while out", expected=0, found=self._starts_in(zone) - before)
        await self.expect("zones", "restore", zone, "--at-once", "--wait")
        listed = json.loads((await self.expect("zones", "list", "--json")).stdout)["zones"]
        self.summary.compare("zones open again", expected=len(listed), found=_count(listed, status="open"))

    async def kill_daemon(self) -> None:
        """Kills a daemon, if possible the leader, runs jobs without it and restarts it."""
        victim = await self._pick_victim()
        daemon = self.deployment.daemons[victim]
        daemon.kill()
        print(f"killed {victim}")
        jobs = await self.submit_jobs()
        found = await self._count_done(jobs)
        self.summary.compare("jobs done without the killed daemon", expected=JOBS, found=found)
        down = [item["daemon"] for item in await self._daemons() if not item["reachable"]]
        self.summary.compare("daemons that status names as not reachable", expected=[victim], found=down)
        daemon.start()
        await self.deployment.wait_ready()
        print(f"started {victim} again")

    async def show_processes(self) -> None:
        """Runs `status` and `dump`."""
        await self.expect("status")
        confirmed = _count(await self._daemons(), confirmed=True)
        self.summary.compare("daemons that are confirmed", expected=6, found=confirmed)
        dumped = await self.expect("dump", quiet=True)
        self.summary.compare(
            "dump holds secrets", expected=False, found=self.key.rsplit("_")[-1] in dumped.stdout
        )

    async def submit_jobs(self) -> list[str]:
        """Submits jobs to all pools; each job tries a different entry VM first."""
        names = list(self.deployment.daemons)
        pools = [pool.name for pool in self.document.pools]

        async def submit(number: int) -> str:
            options = ["--kind", "plan", "--cores", "2", "--memory-gb", "4", "--run-s", "10"]
            pool = pools[number % len(pools)]
            command = ("jobs", "submit", *options, "--pool", pool)
            done = await self.cli.run(*command, first=names[number % len(names)], key=self.key)
            return done.stdout.strip()

        jobs = await asyncio.gather(*(submit(number) for number in range(JOBS)))
        print(f"submitted {len([job for job in jobs if job])} jobs through {len(names)} entry VMs")
        return list(jobs)

    async def expect(self, *arguments: str, status: int = 0, quiet: bool = False) -> CommandResult:
        """Runs a command, prints it with its output and compares its exit status."""
        done = await self.cli.run(*arguments, key=self.key)
        shown = [Path(part).name if "/" in part else part for part in arguments]
        print(f"$ hyssopway {' '.join(shown)}")
        text = (done.stdout + done.stderr).replace(self.key or "\0", "KEY")
        if not quiet and not {"grant", "--json"} & set(arguments):
            print("".join(f"    {line}\n" for line in text.splitlines()[:SHOWN_LINES]), end="")
        self.summary.compare(f"exit status of {' '.join(shown[:2])}", expected=status, found=done.status)
        return done

    def _pick_services(self) -> dict[str, Service]:
        kinds: dict[str, Service] = {}
        for service in self.document.services:
            kind = str(service.access) if service.idempotent else "non-idempotent"
            kinds.setdefault(kind, service)
        return kinds

    async def _wait_served(self, service: Service, *, key: str | None = None) -> None:
        async def served_everywhere() -> bool:
            tag = f"warm-up-{time.monotonic_ns()}"
            urls = [daemon.url for daemon in self.deployment.daemons.values()]
            answers = [
                await self._call(service, url=url, tag=f"{tag}-{number}", key=key)
                for number, url in enumerate(urls)
            ]
            return set(answers) == {200}

        await _wait_until(served_everywhere)

    async def _call(self, service: Service, *, url: str, tag: str, key: str | None = None) -> int:
        secret = self.key if key is None else key
        headers = {"Idempotency-Key": tag} | ({"Authorization": f"Bearer {secret}"} if secret else {})
        body = f"{service.name} {tag}".encode()
        try:
            async with self.session.post(f"{url}/call/{service.name}", data=body, headers=headers) as answer:
                whole = await answer.read() == body
                return answer.status if whole or answer.status != 200 else -1
        except aiohttp.ClientError:
            return 0

    async def _count_done(self, jobs: list[str]) -> int:
        async def all_ended() -> bool:
            return len(await self._find(jobs, ended=True)) == len(jobs)

        await _wait_until(all_ended)
        return _count(await self._find(jobs, ended=True), status="done")

    async def _find(self, jobs: list[str], *, ended: bool) -> list[dict[str, Any]]:
        listed = await self.cli.run("jobs", "list", "--json", key=self.key)
        found = json.loads(listed.stdout)["jobs"] if listed.status == 0 else []
        return [job for job in found if job["job_id"] in jobs and (not ended or job["ended_ms"])]

    async def _pick_victim(self) -> str:
        # Workers of a zone with a single entry VM have no other home: their runs would wait for its restart.
        paired = [
            daemon.name
            for daemon in self.deployment.daemons.values()
            if len(self.deployment.entries(daemon.zone)) > 1
        ]
        leaders = [item["daemon"] for item in await self._daemons() if item.get("role") == "leader"]
        return next((name for name in leaders if name in paired), paired[0])

    async def _daemons(self) -> list[dict[str, Any]]:
        status = await self.cli.run("status", "--json")
        daemons: list[dict[str, Any]] = json.loads(status.stdout)["daemons"]
        return daemons

    def _starts_in(self, zone: str) -> int:
        return sum(
            len(worker.starts) for worker in self.fleet_stand_in.workers.values() if worker.zone == zone
        )

    def _url(self, position: int) -> str:
        return list(self.deployment.daemons.values())[position].url


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the demonstration and returns its exit status: 1 when a result differs from the expected one."""
    parser = argparse.ArgumentParser(description="Demonstration on loopback.")
    parser.add_argument("--deployment", choices=("pantry", "association"), default="pantry")
    return asyncio.run(_run(parser.parse_args(arguments).deployment))


async def _run(name: str) -> int:
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.prepare(name=name, folder=Path(folder))
        fleet_stand_in = FleetStandIn.prepare(deployment)
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            demo = Demo(deployment=deployment, fleet_stand_in=fleet_stand_in, session=session)
            deployment.start()
            try:
                await deployment.wait_ready()
                print(
                    f"{len(deployment.daemons)} daemons, {len(fleet_stand_in.workers)} workers", end=" and "
                )
                print(f"{len(fleet_stand_in.endpoints)} endpoints of the {name} deployment")
                await demo.run()
            except Exception as error:
                demo.summary.compare("error", expected=None, found=repr(error))
            finally:
                await fleet_stand_in.stop()
                statuses = await asyncio.to_thread(deployment.stop)
    demo.summary.compare("exit statuses of the daemons", expected={0}, found=set(statuses.values()))
    print(f"\n{demo.summary.render()}\n\n{time.monotonic() - started:.1f} s")
    return 0 if demo.summary.all_passed else 1


async def _wait_until(holds: Callable[[], Awaitable[bool]]) -> None:
    """Waits for a condition; returns after a timeout as well, and the summary then shows the difference."""
    deadline = time.monotonic() + CONDITION_TIMEOUT_S
    while True:
        if await holds() or time.monotonic() > deadline:
            return
        await asyncio.sleep(0.1)


def _count(items: list[dict[str, Any]], **wanted: object) -> int:
    return sum(all(item.get(name) == value for name, value in wanted.items()) for item in items)


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["main"]
