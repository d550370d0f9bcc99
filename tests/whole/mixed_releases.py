"""Runs two releases together, each on the data that the other wrote.

Run with ``PYTHONPATH=tests:platform python tests/whole/mixed_releases.py --other CHECKOUT``, where CHECKOUT is a checkout
of another release. The exit status is 1 if a guarantee was violated or the replicated states differ.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import secrets
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import aiohttp
import typer

from daemon_dumps import find_leader, read_dumps, replicas_converged
from hyssopway_standins.fleet import EXAMPLES
from hyssopway_standins.fleet_stand_in import FleetStandIn
from hyssopway_standins.job_load import submit_jobs
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.platform import PlatformStandIn, SimulatedVm
from hyssopway_standins.processes import DaemonProcess, Deployment
from hyssopway_standins.waiting import wait_until
from soak import nodes
from soak.nodes import Node
from soak.soak_run import SoakRun

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

OWN = Path(__file__).parents[2]
LOAD_S = 4.0
END_TIMEOUT_S = 60.0
CONVERGENCE_TIMEOUT_S = 20.0
FINAL_STATUSES = ("done", "failed", "cancelled", "cannot_run")
WAVE_VMS = [f"pickup-vm-{number}" for number in range(1, 9)]


class MixedNode(Node):
    """A node that changes its release at each start.

    Attributes:
        releases: Checkouts in turn.
        starts: Log of the releases that were started.
    """

    def __init__(self, *, releases: Iterator[Path], starts: list[str], **options: Any) -> None:
        super().__init__(**options)
        self.releases = releases
        self.starts = starts

    def start(self) -> None:
        """Starts the next release on the data that the previous one left."""
        nodes.REPOSITORY_ROOT = next(self.releases)
        self.starts.append(f"{self.name}: {'own' if nodes.REPOSITORY_ROOT == OWN else 'other'}")
        super().start()


class MixedSoakRun(SoakRun):
    """A soak run in which each restart changes the release of a node.

    Attributes:
        other: Checkout of the other release.
        starts: Log of the releases that were started.
        states: Replicated state by control node after the run.
    """

    def __init__(self, *, other: Path, **options: Any) -> None:
        self.other = other
        self.starts: list[str] = []
        self.states: dict[str, Any] = {}
        super().__init__(**options)

    def _create_node(self, role: str, *, subnet: int, number: int) -> Node:
        releases = (OWN, self.other) if number % 2 else (self.other, OWN)
        return MixedNode(
            releases=itertools.cycle(releases),
            starts=self.starts,
            name=f"{role}-{number}",
            role=role,
            host=f"127.0.{subnet}.{number + 1}",
            folder=self.folder / f"{role}-{number}",
        )

    async def _wait_for_jobs(self, callers: Any) -> None:
        await super()._wait_for_jobs(callers)
        deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while time.monotonic() < deadline:
            self.states = await self._read_states()
            if len(self.states) >= 3 and len({json.dumps(state) for state in self.states.values()}) == 1:
                return
        self.checker.broken.append(f"replicated states of {sorted(self.states)} differ")

    async def _read_states(self) -> dict[str, Any]:
        paths = {node.name: Path(tempfile.gettempdir()) / f"{node.name}.dump.json" for node in self.controls}
        for node in self.controls:
            paths[node.name].unlink(missing_ok=True)
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(1.0)
        states = {}
        for name, path in paths.items():
            try:
                states[name] = json.loads(path.read_text())["agreed_state"]
            except (OSError, ValueError):
                continue  # the node is stopped or still writes its dump
        return states


async def run_soak(*, other: Path, seed: int, seconds: float, folder: Path) -> list[str]:
    """Runs the programs of `platform/` under faults; returns the violated guarantees."""
    run = MixedSoakRun(other=other, seed=seed, folder=folder / f"seed-{seed}")
    report = await run.run(for_s=seconds)
    state = next(iter(run.states.values()), {})
    typer.echo(report.describe())
    typer.echo(f"  {len(run.starts)} starts: {', '.join(run.starts)}")
    typer.echo(
        f"  compared {sorted(run.states)}: { {key: len(value or ()) for key, value in state.items()} }"
    )
    return report.broken


def start_daemon(daemon: DaemonProcess, *, checkout: Path, initialise: bool = False) -> None:
    """Starts a daemon with the program of a checkout."""
    os.environ["PYTHONPATH"] = str(checkout / "src")
    daemon.start(initialise=initialise)


def restart_workers(fleet: FleetStandIn) -> Callable[[str], None]:
    """Returns the callback that restarts the worker of a VM that the platform reboots."""

    def reboot(vm: str) -> None:
        worker = fleet.workers[vm]
        worker.stop()
        worker.boot_id = secrets.token_hex(4)
        worker.start()

    return reboot


class MixedDeployment:
    """Daemons of two releases with jobs, a maintenance wave and keys.

    Attributes:
        other: Checkout of the other release.
        deployment: The daemons.
        clients: Operator clients by daemon.
        broken: Violated guarantees.
        accepted: IDs of accepted jobs.
        key: Key that jobs are submitted with.
        withdrawn_key_id: ID of a withdrawn key.
        wave_id: ID of the maintenance wave.
    """

    def __init__(self, *, other: Path, deployment: Deployment, session: aiohttp.ClientSession) -> None:
        self.other = other
        self.deployment = deployment
        self.session = session
        self.clients = {
            name: OperatorClient(session=session, url=daemon.url, token=deployment.operator_token)
            for name, daemon in deployment.daemons.items()
        }
        self.broken: list[str] = []
        self.accepted: list[str] = []
        self.key = ""
        self.withdrawn_key_id = ""
        self.wave_id = ""

    async def run(self, platform: PlatformStandIn) -> None:
        """Replaces all daemons one by one, goes half of the way back, and restarts all of them."""
        operator = self.clients["nashua-1"]
        await operator.activate_document((EXAMPLES / "pantry" / "document.yaml").read_text())
        fleet = FleetStandIn.prepare(self.deployment)
        platform.on_reboot = restart_workers(fleet)
        await fleet.start()
        try:
            await self._prepare(operator)
            for name in self.deployment.daemons:
                await self._replace(name, checkout=OWN)
            await self._check(operator)
            for name in list(self.deployment.daemons)[:3]:
                await self._replace(name, checkout=self.other)
            await self._kill_leader()
            await self._submit("portland-1")
            await self._check(operator)
            for daemon in self.deployment.daemons.values():
                daemon.kill()
            for daemon in self.deployment.daemons.values():
                start_daemon(daemon, checkout=OWN)
            await self.deployment.wait_ready()
            typer.echo("  all daemons killed and started with their own release")
            await self._check(operator)
        finally:
            await fleet.stop()

    async def _prepare(self, operator: OperatorClient) -> None:
        self.key = await operator.grant_key("granite-hearth")
        self.withdrawn_key_id = (await operator.grant_key("casco-bay")).split("_")[1]
        await operator.delete(f"/v1/keys/{self.withdrawn_key_id}")
        await self._submit("portland-1")

        async def start_wave() -> Any:
            try:
                return await operator.post("/v1/waves", {"pools": ["pickup"]}, request_id="wave-1")
            except RuntimeError:
                return None  # the VMs are not registered yet

        self.wave_id = (await wait_until(start_wave))["reference"]

    async def _submit(self, name: str) -> None:
        await submit_jobs(
            self.session,
            url=self.deployment.daemons[name].url,
            key=self.key,
            pools=["restock", "matching"],
            accepted=self.accepted,
            duration_s=LOAD_S,
        )

    async def _replace(self, name: str, *, checkout: Path) -> None:
        daemon = self.deployment.daemons[name]
        observer = next(other for other in self.deployment.daemons if other != name)
        load = asyncio.create_task(self._submit(observer))
        before = await find_leader(self.clients[observer])
        status = await asyncio.to_thread(daemon.stop, timeout_s=30)
        if status:
            self.broken.append(f"{name} stopped with status {status}")
        start_daemon(daemon, checkout=checkout)
        await self.deployment.wait_ready()
        await load
        release = "own" if checkout == OWN else "other"
        after = await find_leader(self.clients[observer])
        typer.echo(f"  {name} runs the {release} release; leader before {before}, now {after}")

    async def _kill_leader(self) -> None:
        leader = await find_leader(self.clients["portland-1"])
        self.deployment.daemons[leader].kill()
        start_daemon(self.deployment.daemons[leader], checkout=OWN)
        await self.deployment.wait_ready()
        typer.echo(f"  leader {leader} killed and started with its own release")

    async def _check(self, operator: OperatorClient) -> None:
        async def wave_ended() -> bool:
            return (await operator.get(f"/v1/waves/{self.wave_id}"))["status"] in ("complete", "done")

        async def jobs_ended() -> bool:
            jobs = [await operator.get(f"/v1/explain/job/{job_id}") for job_id in self.accepted]
            return all(job["status"] in FINAL_STATUSES for job in jobs)

        async def converged() -> bool:
            return await replicas_converged(self.deployment, operator)

        for condition, timeout_s in (
            (wave_ended, END_TIMEOUT_S),
            (jobs_ended, END_TIMEOUT_S),
            (converged, CONVERGENCE_TIMEOUT_S),
        ):
            try:
                await wait_until(condition, timeout_s=timeout_s)
            except TimeoutError as error:
                self.broken.append(f"{condition.__name__}: {error}; {await self._find_differences(operator)}")
        keys = {key["key_id"]: key for key in (await operator.get("/v1/keys"))["keys"]}
        if not keys[self.withdrawn_key_id]["withdrawn_by"]:
            self.broken.append("a withdrawn key is active again")
        typer.echo(f"  checked {len(self.accepted)} jobs and {len(keys)} keys: {self.broken or 'all held'}")

    async def _find_differences(self, operator: OperatorClient) -> list[str]:
        dumps = await read_dumps(self.deployment, operator)
        first = dumps[0]["agreed_state"]
        return [
            f"{dump['daemon']} {dump['freshness_age_s']:.1f} s: {key}: {str(value)[:300]} not {str(first[key])[:300]}"
            for dump in dumps
            for key, value in dump["agreed_state"].items()
            if value != first[key]
        ]


async def run_daemons(*, other: Path, folder: Path) -> list[str]:
    """Runs daemons of both releases; returns the violated guarantees."""
    platform = PlatformStandIn(vms={vm: SimulatedVm() for vm in WAVE_VMS})
    await platform.start()
    overrides = {"platform_url": platform.url, "snapshot_entries": 40, "shutdown_s": 2.0}
    deployment = Deployment.prepare(name="pantry", folder=folder, overrides=overrides)
    try:
        for daemon in deployment.daemons.values():
            start_daemon(daemon, checkout=other, initialise=True)
        await deployment.wait_ready()
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20)) as session:
            mixed = MixedDeployment(other=other, deployment=deployment, session=session)
            await mixed.run(platform)
    finally:
        os.environ.pop("PYTHONPATH", None)
        deployment.stop()
        await platform.stop()
    snapshots = sum(
        daemon.log_path.read_text().count("snapshot at index") for daemon in deployment.daemons.values()
    )
    typer.echo(f"  {len(mixed.accepted)} jobs accepted, {snapshots} log lines about snapshots")
    return mixed.broken


def main(
    *,
    other: Annotated[Path, typer.Option(help="Checkout of the other release.")],
    seeds: Annotated[int, typer.Option(help="Number of soak runs.")] = 2,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: Annotated[float, typer.Option(help="Length of each soak run in seconds.")] = 20.0,
) -> None:
    """Runs daemons and platform programs of two releases together."""
    folder = Path(tempfile.mkdtemp(prefix="mixed-"))
    os.environ["TMPDIR"] = str(folder)  # dumps are written to the temporary folder
    tempfile.tempdir = None
    broken = asyncio.run(run_daemons(other=other.resolve(), folder=folder))
    for seed in range(first, first + seeds):
        broken += asyncio.run(run_soak(other=other.resolve(), seed=seed, seconds=seconds, folder=folder))
    typer.echo(f"broken: {broken or 'none'}; logs in {folder}")
    sys.exit(bool(broken))


if __name__ == "__main__":
    typer.run(main)
