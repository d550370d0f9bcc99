"""Control nodes, which discover each other through seed hosts."""

from __future__ import annotations

from .control_node import ControlNode
from .node_dump import dump_control_node
from .node_settings import NodeSettings
from .request_service import RequestService

__all__ = ["ControlNode", "NodeSettings", "RequestService", "dump_control_node"]
