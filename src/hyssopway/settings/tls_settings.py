"""Certificates for HTTP and for connections between daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Paths of PEM files.

    Attributes:
        certificate: Certificate chain of this daemon.
        private_key: Its private key.
        authority: Certificates that peers must be signed by.
    """

    certificate: str
    private_key: str
    authority: str


__all__ = ["TlsSettings"]
