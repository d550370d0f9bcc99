"""Text form of keys: ``hk_<id>_<secret>``."""

from __future__ import annotations

import hashlib
import secrets

PREFIX = "hk"
ID_BYTES = 6
SECRET_BYTES = 24


def make_key() -> tuple[str, str]:
    """Returns the id and the full text of a new random key."""
    key_id = secrets.token_hex(ID_BYTES)
    return key_id, f"{PREFIX}_{key_id}_{secrets.token_hex(SECRET_BYTES)}"


def split_key(text: str) -> tuple[str, str] | None:
    """Returns id and secret of a key, or None when the text is not a key."""
    parts = text.split("_")
    if len(parts) != len((PREFIX, "id", "secret")) or parts[0] != PREFIX or not all(parts):
        return None
    return parts[1], parts[2]


def hash_secret(secret: str) -> str:
    """Hashes a secret; the secrets are random, so a plain hash suffices."""
    return hashlib.sha256(secret.encode()).hexdigest()


__all__ = ["hash_secret", "make_key", "split_key"]
