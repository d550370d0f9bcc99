"""Reads JSON request bodies."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from aiohttp import web
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from hyssopway.result import Failure, ResultCode

T = TypeVar("T")

BODY_TIMEOUT_S = 10.0


async def read_json(request: web.Request, adapter: TypeAdapter[T]) -> Result[T, Failure]:
    """Reads and validates a JSON body; rejects unknown fields.

    Returns:
        The parsed body, or BODY_TOO_LARGE, REQUEST_TOO_SLOW or MALFORMED_REQUEST.
    """
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            raw = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        return Error(Failure(code=ResultCode.BODY_TOO_LARGE, message=error.text or "the body is too large"))
    except TimeoutError:
        message = f"the request body did not arrive within {BODY_TIMEOUT_S:.0f} s"
        return Error(Failure(code=ResultCode.REQUEST_TOO_SLOW, message=message))
    try:
        return Ok(adapter.validate_json(raw, extra="forbid"))
    except ValidationError as error:
        details = "; ".join(
            f"{'.'.join(str(part) for part in detail['loc']) or 'body'}: {detail['msg']}"
            for detail in error.errors()
        )
        return Error(Failure(code=ResultCode.MALFORMED_REQUEST, message=details))


__all__ = ["read_json"]
