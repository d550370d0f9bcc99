"""Runs seeds of the soak: ``python -m soak --first 1 --seeds 50 --seconds 20``."""

from __future__ import annotations

import asyncio
import secrets
from pathlib import Path
from typing import Annotated

import typer

from .soak import Report, Soak


def main(
    *,
    seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 5,
    first: Annotated[int, typer.Option(help="First seed; 0 for fresh ones.")] = 0,
    seconds: Annotated[float, typer.Option(help="Length of each run with faults.")] = 20.0,
    jobs: Annotated[int, typer.Option(help="Runs at a time.")] = 1,
    folder: Annotated[Path, typer.Option(help="Where logs are kept.")] = Path("soak-runs"),
) -> None:
    """Runs seeds, prints one line each, and ends with status 1 when a promise was broken."""
    chosen = [first + number if first else secrets.randbelow(10**9) for number in range(seeds)]
    reports = asyncio.run(_run_all(chosen, seconds=seconds, jobs=jobs, folder=folder))
    broken = [report.seed for report in reports if report.broken]
    typer.echo(f"{len(reports)} seeds, broken: {broken or 'none'}; logs in {folder}")
    raise typer.Exit(code=1 if broken else 0)


async def _run_all(seeds: list[int], *, seconds: float, jobs: int, folder: Path) -> list[Report]:
    limit = asyncio.Semaphore(jobs)

    async def run_one(seed: int) -> Report:
        async with limit:
            report = await Soak(seed=seed, folder=folder / f"seed-{seed}").run(for_s=seconds)
        typer.echo(report.describe())
        for line in report.faults if report.broken else ():
            typer.echo(f"  {line}")
        return report

    return await asyncio.gather(*(run_one(seed) for seed in seeds))


if __name__ == "__main__":
    typer.run(main)
