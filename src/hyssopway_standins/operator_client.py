"""HTTP client that acts as an operator."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import aiohttp

from hyssopway.key import hash_secret, make_key, split_key


@dataclass(slots=True, kw_only=True)
class OperatorClient:
    """Sends the requests of an operator to one entry VM.

    Attributes:
        session: HTTP client.
        url: Base URL of the entry VM.
        token: Secret of the operators.
        name: Name that changes are recorded under.
    """

    session: aiohttp.ClientSession
    url: str
    token: str
    name: str = "operator"

    async def get(self, path: str) -> Any:
        """Returns the JSON body of a GET request.

        Raises:
            RuntimeError: The response has a status of 400 or above.
        """
        async with self.session.get(f"{self.url}{path}", headers=self._headers()) as answer:
            return await _check(answer)

    async def post(self, path: str, body: Any, *, request_id: str = "") -> Any:
        """Sends a POST request; `request_id` becomes its idempotency key.

        Raises:
            RuntimeError: The response has a status of 400 or above.
        """
        headers = self._headers() | ({"Idempotency-Key": request_id} if request_id else {})
        async with self.session.post(f"{self.url}{path}", json=body, headers=headers) as answer:
            return await _check(answer)

    async def delete(self, path: str) -> Any:
        """Sends a DELETE request.

        Raises:
            RuntimeError: The response has a status of 400 or above.
        """
        async with self.session.delete(f"{self.url}{path}", headers=self._headers()) as answer:
            return await _check(answer)

    async def activate_document(self, text: str) -> str:
        """Runs a document in trial, promotes it to production and returns its digest.

        The deployment must not have a document yet.
        """
        tried = await self.post("/v1/documents/trial", {"text": text, "expected_generation": 0})
        digest = str(tried["reference"])
        await self.post("/v1/documents/production", {"digest": digest, "expected_generation": 0})
        return digest

    async def grant_key(self, team: str) -> str:
        """Creates a key for a team and returns the full key."""
        key_id, text = make_key()
        secret = (split_key(text) or ("", ""))[1]
        await self.post("/v1/keys", {"key_id": key_id, "key_hash": hash_secret(secret), "team": team})
        return text

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.token}", "Hyssopway-Operator": self.name}


async def _check(answer: aiohttp.ClientResponse) -> Any:
    if answer.status >= 400:
        raise RuntimeError(f"HTTP {answer.status}: {await answer.text()}")
    return await answer.json()


__all__ = ["OperatorClient"]
