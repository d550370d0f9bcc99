"""Runs the real command line against a deployment."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass

from .processes import Deployment

TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """A command that ended.

    Attributes:
        status: Exit status.
        stdout: Standard output.
        stderr: Standard error.
    """

    status: int
    stdout: str
    stderr: str


@dataclass(slots=True, kw_only=True)
class CommandLine:
    """Starts `hyssopway` as a process.

    Attributes:
        deployment: Deployment that it talks to.
        operator: Name that changes are recorded under.
    """

    deployment: Deployment
    operator: str = "demo"

    async def run(self, *arguments: str, first: str = "", key: str = "") -> CommandResult:
        """Runs one command.

        Args:
            arguments: Command and its options.
            first: Daemon whose entry VM is asked first.
            key: Key of a team.
        """
        daemons = sorted(self.deployment.daemons.values(), key=lambda daemon: daemon.name != first)
        entries = [part for daemon in daemons for part in ("--entry", daemon.url)]
        options = ["--token", self.deployment.operator_token, "--operator", self.operator]
        if key:
            options += ["--key", key]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hyssopway.cli.run",
            *entries,
            *options,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                stdout, stderr = await process.communicate()
        except TimeoutError:
            process.kill()
            await process.wait()
            raise
        return CommandResult(status=process.returncode or 0, stdout=stdout.decode(), stderr=stderr.decode())


__all__ = ["CommandLine", "CommandResult"]
