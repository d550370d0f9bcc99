"""Routes for operators about documents, keys, zones, VMs, pools, teams and status."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from expression import Result
from pydantic import TypeAdapter

from hyssopway.control.command import GrantKey, PromoteDocument, SetZone, TrialDocument, WithdrawKey
from hyssopway.http import failure_response, json_response
from hyssopway.job import explain_pending
from hyssopway.result import Failure, ResultCode

from .bodies import GrantBody, PromoteBody, TrialBody, ZoneBody
from .operator_access import read_metadata
from .paging import read_page
from .request_explanation import explain_request

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from hyssopway.replica import Replica

    from .operator_access import OperatorAccess

MAX_INDEX_DIGITS = 18
VM_FILTERS = ("pool", "zone", "state")

_TRIAL_BODY = TypeAdapter(TrialBody)
_PROMOTE_BODY = TypeAdapter(PromoteBody)
_GRANT_BODY = TypeAdapter(GrantBody)
_ZONE_BODY = TypeAdapter(ZoneBody)


class OperatorRoutes:
    """Lets operators change and read the replicated state.

    Attributes:
        replica: Local copy of the replicated state.
        access: Authenticates operators and submits their commands.
        read_status: Returns the status of all daemons and the rollout of a log index.
        read_dump: Returns the state dump of this process.
        find_requests: Returns the records that this daemon keeps about a request ID of a caller.
    """

    __slots__ = ("access", "find_requests", "read_dump", "read_status", "replica")

    def __init__(
        self,
        *,
        replica: Replica,
        access: OperatorAccess,
        read_status: Callable[[int | None], Awaitable[Any]],
        read_dump: Callable[[], Any],
        find_requests: Callable[[str], list[Any]],
    ) -> None:
        self.replica = replica
        self.access = access
        self.read_status = read_status
        self.read_dump = read_dump
        self.find_requests = find_requests

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes to the application."""
        router, guard = app.router, self.access.guard
        router.add_get("/v1/documents/{environment}", guard(self.show_document))
        router.add_get("/v1/documents/{environment}/history", guard(self.show_history))
        router.add_post("/v1/documents/trial", guard(self.submit_trial))
        router.add_post("/v1/documents/production", guard(self.promote))
        router.add_get("/v1/keys", guard(self.list_keys))
        router.add_post("/v1/keys", guard(self.grant_key))
        router.add_delete("/v1/keys/{key}", guard(self.withdraw_key))
        router.add_get("/v1/zones", guard(self.list_zones))
        router.add_post("/v1/zones/{zone}", guard(self.set_zone))
        router.add_get("/v1/vms", guard(self.list_vms))
        router.add_get("/v1/pools", guard(self.list_pools))
        router.add_get("/v1/teams", guard(self.list_teams))
        router.add_get("/v1/explain/job/{job}", guard(self.explain_job))
        router.add_get("/v1/explain/vm/{vm}", guard(self.explain_vm))
        router.add_get("/v1/explain/request/{request}", guard(self.explain_request))
        router.add_get("/v1/status", guard(self.status))
        router.add_get("/v1/dump", guard(self.dump))

    async def submit_trial(self, request: web.Request) -> web.Response:
        """Activates a document in the trial environment."""
        return await self.access.change(
            request,
            _TRIAL_BODY,
            lambda body, metadata: TrialDocument(
                text=body.text, expected_generation=body.expected_generation, **metadata
            ),
        )

    async def promote(self, request: web.Request) -> web.Response:
        """Promotes a document that the trial environment has accepted to production."""
        return await self.access.change(
            request,
            _PROMOTE_BODY,
            lambda body, metadata: PromoteDocument(
                digest=body.digest, expected_generation=body.expected_generation, **metadata
            ),
        )

    async def show_document(self, request: web.Request) -> web.Response:
        """Shows the active document of an environment."""
        stored = self.replica.state.tables.documents.get(request.match_info["environment"])
        if stored is None:
            message = f"environment {request.match_info['environment']!r} has no active document"
            return failure_response(Failure(code=ResultCode.UNKNOWN_DOCUMENT, message=message))
        return json_response(stored)

    async def show_history(self, request: web.Request) -> web.Response:
        """Shows all documents of an environment, the latest first."""
        tables = self.replica.state.tables
        environment = request.match_info["environment"]
        current = tables.documents.get(environment)
        earlier = [stored for stored in tables.history if stored.environment == environment]
        return json_response({"documents": [*([current] if current else []), *reversed(earlier)]})

    async def grant_key(self, request: web.Request) -> web.Response:
        """Grants a key."""
        return await self.access.change(
            request,
            _GRANT_BODY,
            lambda body, metadata: GrantKey(
                key_id=body.key_id, key_hash=body.key_hash, team=body.team, **metadata
            ),
        )

    async def withdraw_key(self, request: web.Request) -> web.Response:
        """Withdraws a key."""
        return await self.access.submit(
            WithdrawKey(key_id=request.match_info["key"], **read_metadata(request))
        )

    async def list_keys(self, request: web.Request) -> web.Response:
        """Lists keys without their hashes."""
        keys = [
            {
                "key_id": key.key_id,
                "team": key.team,
                "granted_by": key.granted_by,
                "granted_ms": key.granted_ms,
                "withdrawn_by": key.withdrawn_by,
                "withdrawn_ms": key.withdrawn_ms,
            }
            for key in self.replica.state.tables.keys.values()
        ]
        return json_response({"keys": keys})

    async def set_zone(self, request: web.Request) -> web.Response:
        """Withdraws or restores a zone."""
        zone = request.match_info["zone"]
        return await self.access.change(
            request,
            _ZONE_BODY,
            lambda body, metadata: SetZone(
                zone=zone, status=body.status, expected_epoch=body.expected_epoch, **metadata
            ),
        )

    async def list_zones(self, request: web.Request) -> web.Response:
        """Lists zones."""
        return json_response({"zones": list(self.replica.state.tables.zones.values())})

    async def list_vms(self, request: web.Request) -> web.Response:
        """Lists VMs with their running jobs, in the order of names."""
        match read_page(request.query):
            case Result(tag="ok", ok=page):
                pass
            case Result(error=failure):
                return failure_response(failure)
        wanted = {name: request.query[name] for name in VM_FILTERS if name in request.query}
        vms, next_cursor = page.select(
            (
                vm
                for vm in self.replica.state.tables.vms.values()
                if all(getattr(vm, name) == value for name, value in wanted.items())
            ),
            cursor=lambda vm: vm.name,
        )
        running = self.replica.state.indexes.running
        listed = [{"vm": vm, "running": sorted(running.get(vm.name, ()))} for vm in vms]
        return json_response({"vms": listed, "next": next_cursor})

    async def list_pools(self, request: web.Request) -> web.Response:
        """Lists pools with their VMs."""
        document = self.replica.state.document()
        vms = self.replica.state.tables.vms.values()
        pools = [
            {"pool": pool, "vms": sorted(vm.name for vm in vms if vm.pool == pool.name)}
            for pool in (document.pools if document else [])
        ]
        return json_response({"pools": pools})

    async def list_teams(self, request: web.Request) -> web.Response:
        """Lists teams with their resource usage."""
        document = self.replica.state.document()
        usage = self.replica.state.indexes.usage
        teams = [
            {"team": team, "usage": usage.get(team.name)} for team in (document.teams if document else [])
        ]
        return json_response({"teams": teams})

    async def explain_vm(self, request: web.Request) -> web.Response:
        """Shows a VM with its zone and permit, its runs and its free resources."""
        name = request.match_info["vm"]
        state = self.replica.state
        vm = state.tables.vms.get(name)
        if vm is None:
            return failure_response(
                Failure(code=ResultCode.UNKNOWN_VM, message=f"VM {name!r} does not exist")
            )
        jobs = [state.tables.jobs[job_id] for job_id in sorted(state.indexes.running.get(name, ()))]
        free = vm.capacity
        for job in jobs:
            free = free - job.spec.resources
        runs = [{"job_id": job.job_id, "team": job.team, "run": job.run} for job in jobs]
        shown = {"vm": vm, "zone": state.tables.zones.get(vm.zone), "permit": state.tables.permits.get(name)}
        return json_response(shown | {"runs": runs, "left": free})

    async def explain_job(self, request: web.Request) -> web.Response:
        """Shows a job and the rule that keeps it pending, if any."""
        job = self.replica.state.tables.jobs.get(request.match_info["job"])
        if job is None:
            message = f"job {request.match_info['job']!r} does not exist"
            return failure_response(Failure(code=ResultCode.UNKNOWN_JOB, message=message))
        waiting = explain_pending(self.replica.state, job=job)
        return json_response({**asdict(job), "waiting": waiting})

    async def explain_request(self, request: web.Request) -> web.Response:
        """Explains a change or a non-idempotent request by its request ID."""
        request_id = request.match_info["request"]
        found = explain_request(state=self.replica.state, request_id=request_id)
        seen = self.find_requests(request_id)
        if seen:
            found = (found or {"request": request_id, "change": None, "claims": []}) | {"seen_here": seen}
        if found is None:
            message = f"nothing is kept for request id {request_id!r}; an entry keeps its last requests only"
            return failure_response(Failure(code=ResultCode.UNKNOWN_RESOURCE, message=message))
        return json_response(found)

    async def status(self, request: web.Request) -> web.Response:
        """Shows the status of all daemons and the rollout of a log index, by default the last applied one."""
        text = request.query.get("index")
        if text is None:
            return json_response(await self.read_status(None))
        if not text.isdecimal() or len(text) > MAX_INDEX_DIGITS:
            message = f"index is {text[:40]!r}; it must be a log index"
            return failure_response(Failure(code=ResultCode.MALFORMED_REQUEST, message=message))
        return json_response(await self.read_status(int(text)))

    async def dump(self, request: web.Request) -> web.Response:
        """Dumps the state of this process."""
        return json_response(self.read_dump())


__all__ = ["OperatorRoutes"]
