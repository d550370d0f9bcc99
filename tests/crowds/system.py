"""One control process and one entry process, each with lowered limits."""

from __future__ import annotations

import http.client
import json
import time
from typing import TYPE_CHECKING

from soak.nodes import Node, find_free_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

READY_TIMEOUT_S = 20.0
# Time after which a request counts as not answered; the product's own time-outs are far below it.
ANSWER_TIMEOUT_S = 20.0
# An ordinary caller sends a request again after a refusal or a broken connection.
ATTEMPTS = 5
RETRY_DELAY_S = 0.5
HOST_OF_CONTROL, HOST_OF_ENTRY = "127.0.230.1", "127.0.230.2"
METRICS_PORT = 9464
# The smallest machines in use give an entry 200 MB and a control node 296 MB. The lowered limits leave each of them
# about 57 MB beside the program itself.
MEMORY_MB = {"entry": 100, "control": 120}
DESCRIPTORS = 4100
RESERVED_DESCRIPTORS = 200
ID = "00000000000000ff"
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "plans",
            "host": "a.example",
            "path_prefix": "/p/",
            "timeout_ms": 3000,
            "service": "vans",
            "max_attempts": 3,
            "target_latency_ms": 500,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "vans", "rejects_overload": False}],
    "tenants": [{"name": "one", "api_keys": ["key-0"], "weight": 2.0}]
    + [{"name": f"team-{number}", "api_keys": [f"key-of-{number}"], "weight": 1.0} for number in range(1500)],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}
JOB = {"specification": "x" * 4000, "steps": [{"count": 4, "cpu": 500, "estimated_ms": 900}]}


class System:
    """A control process and an entry process.

    Attributes:
        control: The control process.
        entry: The entry process.
    """

    def __init__(self, *, folder: Path, descriptors: int = DESCRIPTORS) -> None:
        self.control = Node(name="control", role="control", host=HOST_OF_CONTROL, folder=folder / "control")
        self.entry = Node(name="entry", role="entry", host=HOST_OF_ENTRY, folder=folder / "entry")
        self.peer_port = find_free_port(HOST_OF_CONTROL)
        for node in (self.control, self.entry):
            node.write_settings(
                seeds=[self.control.http],
                peer_port=self.peer_port,
                machine_api_address="127.0.230.9:9",
                bootstrap=node.role == "control",
                limits={"memory_mb": MEMORY_MB[node.role], "file_descriptors": descriptors},
            )

    def start(self) -> None:
        """Starts both processes and puts the configuration into force."""
        self.control.start()
        self.entry.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while self.put_manifest() != 200 or self.post_job() != 200:
            assert time.monotonic() < deadline, "the system was not ready in time"
            time.sleep(0.1)

    def stop(self) -> None:
        """Kills both processes."""
        self.entry.kill()
        self.control.kill()

    def put_manifest(self) -> int:
        """Sends the configuration as an operator; returns the status, 0 without an answer."""
        return send(self.control.http, "PUT", "/hyssopway/config", MANIFEST)

    def post_job(self) -> int:
        """Sends a job of usual size as a caller; returns the status, 0 without an answer."""
        return send(self.entry.http, "POST", f"/p/{ID}", JOB)

    def get_readiness(self) -> int:
        """Sends a probe of the load balancer; returns the status, 0 without an answer."""
        settings = (self.entry.folder / "settings.toml").read_text()
        address = next(line for line in settings.splitlines() if line.startswith("readiness"))
        return send(address.split('"')[1], "GET", "/hyssopway/readiness", None)

    def get_metrics(self) -> int:
        """Fetches the metrics of the entry; returns the status, 0 without an answer."""
        return send(f"{HOST_OF_ENTRY}:{METRICS_PORT}", "GET", "/metrics", None)


def send(address: str, method: str, path: str, body: object) -> int:
    """Sends one ordinary request; returns its status, 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=ANSWER_TIMEOUT_S)
    headers = {"Host": "a.example", "Authorization": "Bearer key-0", "Content-Type": "application/json"}
    try:
        connection.request(method, path, body=None if body is None else json.dumps(body), headers=headers)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def send_until_served(request: Callable[[], int]) -> int:
    """Repeats a request as an ordinary caller does after a refusal; returns the last status."""
    status = 0
    for _ in range(ATTEMPTS):
        status = request()
        if status in (0, 200):
            break
        time.sleep(RETRY_DELAY_S)
    return status


__all__ = [
    "DESCRIPTORS",
    "HOST_OF_CONTROL",
    "HOST_OF_ENTRY",
    "MEMORY_MB",
    "METRICS_PORT",
    "RESERVED_DESCRIPTORS",
    "System",
    "send_until_served",
]
