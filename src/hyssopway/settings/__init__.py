"""Daemon settings and TLS contexts."""

from __future__ import annotations

from .daemon_settings import DaemonSettings
from .loading import load_settings
from .peer_address import PeerAddress
from .tls_context import http_context, peer_client_context, peer_server_context
from .tls_settings import TlsSettings

__all__ = [
    "DaemonSettings",
    "PeerAddress",
    "TlsSettings",
    "http_context",
    "load_settings",
    "peer_client_context",
    "peer_server_context",
]
