"""Runs the `hyssopway` command line as a subprocess against a deployment."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass

from .processes import Deployment

TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """Result of a finished command.

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
    """Runs `hyssopway` commands in subprocesses.

    Attributes:
        deployment: Deployment that the commands are sent to.
        operator: Name that changes are recorded under.
    """

    deployment: Deployment
    operator: str = "demo"

    async def run(self, *arguments: str, first: str = "", key: str = "") -> CommandResult:
        """Runs one command and returns its result.

        Args:
            arguments: Command and its options.
            first: Daemon whose entry VM is tried first.
            key: Key of a team; empty to send none.

        Raises:
            TimeoutError: The command did not end in time; it was killed.
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
