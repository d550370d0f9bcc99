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

__all__ = ["Json", "RequestId", "Wait", "WaitSeconds"]
