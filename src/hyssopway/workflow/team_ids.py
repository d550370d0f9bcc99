"""Identity of a team.

Submitters know their team by the API key that they send. The name of a team is a label that operators may change or give
to another team; keys are added and withdrawn. A team therefore has an ID that its workflows and its usage are kept under:
the name that it had first, unless another team had that name before.
"""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from .team_policy import TeamPolicy


def identify_teams(teams: Iterable[TeamPolicy], *, known: Mapping[str, TeamPolicy]) -> dict[str, str]:
    """Finds which known team each team of a new configuration is.

    A team is the known one with which it shares its name and a key, else the one with which it shares a key, else the one
    that has its name.

    Args:
        teams: Teams of the new configuration.
        known: Last policy of each known team by ID; of two that had the same key, the later one counts.

    Returns:
        ID of each team by its name.
    """
    new = list(teams)
    owner_by_key = {key: team_id for team_id, team in known.items() for key in team.keys}
    id_by_name = {team.name: team_id for team_id, team in known.items()}
    ids: dict[str, str] = {}
    for team in new:
        named = [id_by_name[team.name]] if team.name in id_by_name else []
        _assign(
            team,
            candidates=[team_id for team_id in named if team_id in _list_owners(team, owner_by_key)],
            ids=ids,
        )
    for team in new:
        _assign(team, candidates=_list_owners(team, owner_by_key), ids=ids)
    for team in new:
        named = [id_by_name[team.name]] if team.name in id_by_name else []
        _assign(team, candidates=named, ids=ids)
    for team in new:
        unused = (team_id for team_id in _iterate_ids(team.name) if team_id not in known)
        _assign(team, candidates=unused, ids=ids)
    return ids


def _list_owners(team: TeamPolicy, owner_by_key: Mapping[str, str]) -> list[str]:
    return [owner_by_key[key] for key in team.keys if key in owner_by_key]


def _iterate_ids(name: str) -> Iterator[str]:
    yield name
    for number in count(2):
        yield f"{name}~{number}"


def _assign(team: TeamPolicy, *, candidates: Iterable[str], ids: dict[str, str]) -> None:
    """Gives a team without an ID the first candidate that no other team has."""
    if team.name in ids:
        return
    taken = set(ids.values())
    team_id = next((candidate for candidate in candidates if candidate not in taken), None)
    if team_id is not None:
        ids[team.name] = team_id


__all__ = ["identify_teams"]
