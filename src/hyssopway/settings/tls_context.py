"""TLS contexts from the files that settings name."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .tls_settings import TlsSettings


def http_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context of the HTTP interface; clients present tokens and keys, not certificates."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


def peer_server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context that accepts other daemons; their certificates must be signed by the authority."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns the context that calls other daemons; their certificates must name their IP number."""
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    return context


__all__ = ["http_context", "peer_client_context", "peer_server_context"]
