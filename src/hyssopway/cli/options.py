"""Options that several commands share."""

from typing import Annotated

import typer

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
RequestId = Annotated[
    str,
    typer.Option(
        "--request-id", metavar="ID", help="Retry a change with the request ID of its first attempt."
    ),
]
Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is active on every reachable process.")
]
WaitTimeout = Annotated[
    float, typer.Option("--wait-timeout", metavar="S", min=0.1, max=3600, help="Maximum wait in seconds.")
]

Limit = Annotated[
    int, typer.Option("--limit", metavar="N", min=0, help="Maximum number of results; all by default.")
]
After = Annotated[
    str, typer.Option("--after", metavar="CURSOR", help="Continue after the last result of an earlier page.")
]

__all__ = ["After", "Json", "Limit", "RequestId", "Wait", "WaitTimeout"]
