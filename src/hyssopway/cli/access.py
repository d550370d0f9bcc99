"""Connections for the commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import typer

    from .connection import Connection
    from .target import Target


def operator_connection(context: typer.Context) -> Connection:
    """Returns a connection that presents the operators' token."""
    target: Target = context.obj
    return target.as_operator()


def team_connection(context: typer.Context) -> Connection:
    """Returns a connection that presents a team's key."""
    target: Target = context.obj
    return target.as_team()


__all__ = ["operator_connection", "team_connection"]
