"""Certificate files for HTTP and for connections between daemons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Paths of PEM files.

    Attributes:
        certificate: Certificate chain of this daemon.
        private_key: Private key of the certificate.
        authority: CA certificates that verify the certificates of other daemons.
    """

    certificate: str
    private_key: str
    authority: str


__all__ = ["TlsSettings"]
