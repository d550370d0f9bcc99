"""Control of a wave over HTTP. Without a platform the wave stops no VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from hyssopway_standins.operator_client import OperatorClient


async def test_wave_is_started_controlled_and_retried(operator: OperatorClient):
    """Guards against a retry that starts a second wave, and control commands based on an outdated status."""
    first = await operator.post("/v1/waves", {"pools": ["pickup"]}, request_id="start-1")
    assert await operator.post("/v1/waves", {"pools": ["pickup"]}, request_id="start-1") == first
    path = f"/v1/waves/{first['reference']}"
    await expect_refusal(operator, "/v1/waves", {}, code="WAVE_CONFLICT")
    await expect_refusal(operator, "/v1/waves/wave-0/pause", {"expected_epoch": 1}, code="UNKNOWN_WAVE")
    await expect_refusal(operator, f"{path}/resume", {"expected_epoch": 1}, code="WAVE_CONFLICT")
    await operator.post(f"{path}/pause", {"expected_epoch": 1})
    await expect_refusal(operator, f"{path}/abort", {"expected_epoch": 1}, code="GENERATION_CONFLICT")
    assert (await operator.get(path))["status"] == "paused"
    await operator.post(f"{path}/resume", {"expected_epoch": 2})
    await operator.post(f"{path}/abort", {"expected_epoch": 3})
    (listed,) = (await operator.get("/v1/waves"))["waves"]
    assert (listed["status"], listed["reason"]) == ("aborted", "abort by operator")


async def expect_refusal(operator: OperatorClient, path: str, body: Any, *, code: str) -> None:
    with pytest.raises(RuntimeError, match=code):
        await operator.post(path, body)
