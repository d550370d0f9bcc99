"""Text format of keys: ``hk_<id>_<secret>``."""

from __future__ import annotations

import hashlib
import secrets

PREFIX = "hk"
ID_BYTES = 6
SECRET_BYTES = 24


def make_key() -> tuple[str, str]:
    """Generates a random key; returns its ID and its full text."""
    key_id = secrets.token_hex(ID_BYTES)
    return key_id, f"{PREFIX}_{key_id}_{secrets.token_hex(SECRET_BYTES)}"


def split_key(text: str) -> tuple[str, str] | None:
    """Returns the ID and the secret of a key, or None when the text is not a key."""
    parts = text.split("_")
    if len(parts) != len((PREFIX, "id", "secret")) or parts[0] != PREFIX or not all(parts):
        return None
    return parts[1], parts[2]


def hash_secret(secret: str) -> str:
    """Hashes a secret; secrets are random, so a fast unsalted hash suffices."""
    return hashlib.sha256(secret.encode()).hexdigest()


__all__ = ["hash_secret", "make_key", "split_key"]
