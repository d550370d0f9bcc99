"""Identity of a queue.

Submitters know a queue by the host and the path prefix that they send requests to, and a workflow by its ID below that
prefix. The name of a queue is a label that operators may change or give to another queue, so nothing is looked up by it.
IDs of workflows have one length, so that a URL that names a workflow names one prefix only.
"""

from __future__ import annotations

from typing import Final, NewType

# Members of a state before `QUEUE_IDS_VERSION` identify a queue by its name; there, the name takes the place of the ID.
QueueId = NewType("QueueId", str)

UNKNOWN_QUEUE_ID: Final = QueueId("")


def make_queue_id(*, host: str, path_prefix: str) -> QueueId:
    """Returns the ID of the queue at a host and a path prefix."""
    return QueueId(f"{host}{path_prefix}")


__all__ = ["UNKNOWN_QUEUE_ID", "QueueId", "make_queue_id"]
