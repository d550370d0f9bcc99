"""Runs the soak test for several seeds: ``python -m soak --first 1 --seeds 50 --seconds 20``."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path
from typing import Annotated

import typer

from .soak_run import SoakReport, SoakRun


def main(
    *,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    first: Annotated[int, typer.Option(help="First seed; 0 for random seeds.")] = 0,
    seconds: Annotated[
        float, typer.Option(help="Duration of fault injection in each run, in seconds.")
    ] = 20.0,
    jobs: Annotated[int, typer.Option(help="Number of concurrent runs.")] = 1,
    cuts: Annotated[
        bool, typer.Option(help="Restart VMs with long tasks and cut them off, in place of the spread tasks.")
    ] = False,
    folder: Annotated[Path, typer.Option(help="Directory for settings, data and logs.")] = Path("soak-runs"),
) -> None:
    """Runs the seeds, prints one line for each and exits with status 1 on any violated guarantee."""
    chosen_seeds = [first + number if first else secrets.randbelow(10**9) for number in range(seeds)]
    reports = asyncio.run(_run_all(chosen_seeds, seconds=seconds, jobs=jobs, cuts=cuts, folder=folder))
    broken = [report.seed for report in reports if report.broken]
    typer.echo(f"{len(reports)} seeds, broken: {broken or 'none'}; logs in {folder}")
    raise typer.Exit(code=1 if broken else 0)


async def _run_all(
    seeds: list[int], *, seconds: float, jobs: int, cuts: bool, folder: Path
) -> list[SoakReport]:
    limit = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> SoakReport:
        async with limit:
            run = SoakRun(
                seed=seed,
                folder=folder / f"seed-{seed}",
                has_spread_tasks=not cuts,
                has_restart_cuts=cuts,
            )
            report = await run.run(for_s=seconds)
        typer.echo(report.describe())
        for line in report.faults if report.broken else ():
            typer.echo(f"  {line}")
        return report

    return await asyncio.gather(*(run_one(seed) for seed in seeds))


if __name__ == "__main__":
    typer.run(main)
