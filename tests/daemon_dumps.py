"""Compares the replicated state of the daemons of a deployment by their state dumps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

from hyssopway.replica import AUTHORITY_TTL_S
from hyssopway_standins.operator_client import OperatorClient
from hyssopway_standins.waiting import wait_until

if TYPE_CHECKING:
    from hyssopway_standins.processes import Deployment


async def find_leader(operator: OperatorClient) -> str:
    """Returns the name of the leader, according to the entry daemon of the operator; waits for one."""

    async def find() -> str:
        try:
            agreement = (await operator.get("/v1/dump"))["agreement"]
        except (aiohttp.ClientError, RuntimeError):
            return ""
        return str(agreement["leader"]).split("/", maxsplit=1)[0]

    return str(await wait_until(find))


async def read_dumps(deployment: Deployment, operator: OperatorClient) -> list[dict[str, Any]]:
    """Reads the state dumps of all daemons."""
    clients = [
        OperatorClient(session=operator.session, url=daemon.url, token=operator.token)
        for daemon in deployment.daemons.values()
    ]
    return list(await asyncio.gather(*(client.get("/v1/dump") for client in clients)))


def has_fresh_state(dump: dict[str, Any]) -> bool:
    """Returns whether a daemon confirmed its state recently enough to make decisions on it."""
    return dump["freshness_age_s"] is not None and dump["freshness_age_s"] <= AUTHORITY_TTL_S


async def replicas_converged(deployment: Deployment, operator: OperatorClient) -> bool:
    """Returns whether all daemons have the same state and confirmed it recently."""
    try:
        dumps = await read_dumps(deployment, operator)
    except aiohttp.ClientError:
        return False  # a daemon that was just started does not listen yet
    are_equal = all(dump["agreed_state"] == dumps[0]["agreed_state"] for dump in dumps)
    return are_equal and all(has_fresh_state(dump) for dump in dumps)
