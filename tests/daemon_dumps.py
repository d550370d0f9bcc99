"""Reads and compares the dumps of the daemons of a deployment."""

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
    """Returns the name of the leader according to the entry VM of the operator client."""

    async def find() -> str:
        try:
            agreement = (await operator.get("/v1/dump"))["agreement"]
        except (aiohttp.ClientError, RuntimeError):
            return ""
        return str(agreement["leader"]).split("/", maxsplit=1)[0]

    return str(await wait_until(find))


async def read_dumps(deployment: Deployment, operator: OperatorClient) -> list[dict[str, Any]]:
    """Returns the dumps of all daemons."""
    clients = [
        OperatorClient(session=operator.session, url=daemon.url, token=operator.token)
        for daemon in deployment.daemons.values()
    ]
    return list(await asyncio.gather(*(client.get("/v1/dump") for client in clients)))


def has_fresh_state(dump: dict[str, Any]) -> bool:
    """Tells whether the state of a daemon was confirmed recently enough for decisions."""
    return dump["freshness_age_s"] is not None and dump["freshness_age_s"] <= AUTHORITY_TTL_S


async def replicas_converged(deployment: Deployment, operator: OperatorClient) -> bool:
    """Tells whether all daemons hold the same, recently confirmed state."""
    dumps = await read_dumps(deployment, operator)
    same = all(dump["agreed_state"] == dumps[0]["agreed_state"] for dump in dumps)
    return same and all(has_fresh_state(dump) for dump in dumps)
