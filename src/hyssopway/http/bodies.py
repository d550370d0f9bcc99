"""Reads JSON request bodies."""

from __future__ import annotations

from typing import TypeVar

from aiohttp import web
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from hyssopway.result import Failure, ResultCode

T = TypeVar("T")


async def read_json(request: web.Request, adapter: TypeAdapter[T]) -> Result[T, Failure]:
    """Reads and checks a JSON body; unknown fields are refused."""
    try:
        raw = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return Error(Failure(code=ResultCode.BODY_TOO_LARGE, message="the request body is too large"))
    try:
        return Ok(adapter.validate_json(raw, extra="forbid"))
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(str(part) for part in detail['loc']) or 'body'}: {detail['msg']}"
            for detail in error.errors()
        )
        return Error(Failure(code=ResultCode.MALFORMED_REQUEST, message=problems))


__all__ = ["read_json"]
