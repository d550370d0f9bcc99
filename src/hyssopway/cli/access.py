"""Clients with the access rights of operators or of a team."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import typer

    from .api_client import ApiClient
    from .client_options import ClientOptions


def operator_client(context: typer.Context) -> ApiClient:
    """Returns a client that authenticates with the operators' token."""
    options: ClientOptions = context.obj
    return options.operator_client()


def team_client(context: typer.Context) -> ApiClient:
    """Returns a client that authenticates with a team's key."""
    options: ClientOptions = context.obj
    return options.team_client()


__all__ = ["operator_client", "team_client"]
