"""TLS contexts for the certificate files of the settings."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tls_settings import TlsSettings


def http_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the server context for HTTP; clients authenticate by token or key, not by certificate."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


def peer_server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the server context for other daemons, whose certificates the authority must have signed."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the client context for calls to other daemons, whose certificates must name their IP address."""
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


__all__ = ["http_context", "peer_client_context", "peer_server_context"]
