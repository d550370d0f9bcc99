"""Applies a new configuration, and the change of the state to IDs of queues and teams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .queue import make_unlocated_queue
from .queue_id import QueueId
from .state_version import QUEUE_IDS_VERSION
from .team_ids import identify_teams

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .commands import PutDocument
    from .fleet_document import FleetDocument
    from .indexes import Indexes
    from .tables import Tables
    from .team_policy import TeamPolicy

# Bounds the state over years of changes. A workflow may be accepted for a queue that a configuration on its way removes,
# so the latest ones are kept whether they have workflows or not.
MAX_UNUSED_FORMER_QUEUES = 256


def put_document(tables: Tables, indexes: Indexes, command: PutDocument) -> None:
    """Stores a configuration if its version is higher than that of the active one."""
    document, former = command.document, tables.document
    if former is not None and document.version <= former.version:
        return
    tables.document = document
    if tables.version < QUEUE_IDS_VERSION:
        tables.queue_pools.update({queue.name: queue.pool for queue in document.queues})
        tables.queue_attempts.update({queue.name: queue.max_attempts for queue in document.queues})
    else:
        _resolve_names(tables, document=document)
        _keep_former_queues(tables, document=document, former=former)
        _identify_teams(tables, document=document, former=former)
    indexes.index_configuration(tables)


def change_to_ids(tables: Tables, indexes: Indexes) -> None:
    """Changes the tables from names of queues and teams to their IDs.

    The host and prefix of a queue that had been removed before are not known. Its workflows keep the name in place of
    an ID until a queue of that name is configured again.
    """
    document = tables.document
    in_use = {workflow.queue for workflow in tables.workflows.values()}
    for name, pool in tables.queue_pools.items():
        if name in in_use:
            tables.former_queues[QueueId(name)] = make_unlocated_queue(
                name, pool=pool, max_attempts=tables.queue_attempts.get(name, 1)
            )
    tables.queue_pools.clear()
    tables.queue_attempts.clear()
    if document is not None:
        _resolve_names(tables, document=document)
        tables.team_ids = {team.name: team.name for team in document.teams}
    indexes.index_configuration(tables)


def _resolve_names(tables: Tables, *, document: FleetDocument) -> None:
    """Replaces names in place of IDs by the IDs of the queues that have these names now."""
    ids: dict[QueueId, QueueId] = {}
    for queue in document.queues:
        name = QueueId(queue.name)
        unlocated = tables.former_queues.get(name)
        if unlocated is not None and not unlocated.path_prefix:
            ids[name] = queue.queue_id
            del tables.former_queues[name]
    if not ids:
        return
    for workflow in tables.workflows.values():
        workflow.queue = ids.get(workflow.queue, workflow.queue)


def _keep_former_queues(tables: Tables, *, document: FleetDocument, former: FleetDocument | None) -> None:
    """Keeps the queues that a configuration removes, and forgets the oldest that no workflow needs."""
    if former is not None:
        tables.former_queues.update({queue.queue_id: queue for queue in former.queues})
    for queue in document.queues:
        tables.former_queues.pop(queue.queue_id, None)
    if len(tables.former_queues) <= MAX_UNUSED_FORMER_QUEUES:
        return
    in_use = {workflow.queue for workflow in tables.workflows.values()}
    unused = [queue_id for queue_id in tables.former_queues if queue_id not in in_use]
    for queue_id in unused[: max(0, len(unused) - MAX_UNUSED_FORMER_QUEUES)]:
        del tables.former_queues[queue_id]


def _identify_teams(tables: Tables, *, document: FleetDocument, former: FleetDocument | None) -> None:
    known: dict[str, TeamPolicy] = dict(tables.former_teams)
    if former is not None:
        known.update({tables.team_ids[team.name]: team for team in former.teams})
    tables.team_ids = identify_teams(document.teams, known=known)
    tables.former_teams = _without(known, ids=set(tables.team_ids.values()))


def _without(teams: Mapping[str, TeamPolicy], *, ids: set[str]) -> dict[str, TeamPolicy]:
    return {team_id: team for team_id, team in teams.items() if team_id not in ids}


__all__ = ["change_to_ids", "put_document"]
