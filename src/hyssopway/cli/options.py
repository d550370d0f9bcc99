"""Options that several commands share."""

from typing import Annotated

import typer

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
RequestId = Annotated[
    str, typer.Option("--request-id", metavar="ID", help="Send a change again under its earlier request id.")
]
Wait = Annotated[bool, typer.Option("--wait", help="Wait until it is in force on every reachable process.")]
WaitSeconds = Annotated[
    float, typer.Option("--wait-timeout", metavar="S", min=0.1, max=3600, help="Longest wait in seconds.")
]

Limit = Annotated[int, typer.Option("--limit", metavar="N", min=0, help="Most lines; all by default.")]
After = Annotated[str, typer.Option("--after", metavar="CURSOR", help="Continue after an earlier page.")]

__all__ = ["After", "Json", "Limit", "RequestId", "Wait", "WaitSeconds"]
