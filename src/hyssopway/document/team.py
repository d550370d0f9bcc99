"""A team that submits jobs and keyed requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from .resources import Resources


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """Share and upper limit of one team.

    Attributes:
        name: Name of the team.
        organisation: Organisation that the team belongs to.
        share: Weight of the team when demand exceeds the capacity of the fleet.
        limit: Upper limit of the resources that its running tasks hold over all zones.
        max_running: Most tasks that may run at the same time over all zones.
    """

    name: str
    limit: Resources
    organisation: str = ""
    share: Annotated[float, Field(gt=0, allow_inf_nan=False)] = 1.0
    max_running: Annotated[int, Field(ge=0)] = 1000


__all__ = ["Team"]
