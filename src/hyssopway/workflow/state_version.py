"""Versions of the replicated state.

Members of two releases apply the same log and must reach the same state. A rule by which a command changes the state is
therefore only changed together with the version of the state: the new rule holds from the entry that raises the version.
"""

from __future__ import annotations

from typing import Final

PLACEMENT_RULES_VERSION: Final = 1  # the application of a start checks the rules that its placement keeps
LATE_FAILURES_VERSION: Final = 1  # a failure that is reported after the lease of its run expired counts
ENDS_COUNT_ONCE_VERSION: Final = (
    1  # the end of a boot counts once for each run that is kept, however often it is committed
)
REPLACED_BOOTS_VERSION: Final = 2  # the record of a VM tells when its boot replaced another one
QUEUE_IDS_VERSION: Final = 3  # workflows are kept by the IDs of their queue and team, not by the names
BOOT_FENCES_VERSION: Final = (
    3  # each member that may lead orders with fencing tokens that rise with a VM's boots
)
BEGUN_WORKFLOWS_VERSION: Final = (
    3  # the record of a workflow tells whether one of its tasks has ever started on a VM
)

CURRENT_VERSION: Final = QUEUE_IDS_VERSION  # the highest version that this release can apply

__all__ = [
    "BEGUN_WORKFLOWS_VERSION",
    "BOOT_FENCES_VERSION",
    "CURRENT_VERSION",
    "ENDS_COUNT_ONCE_VERSION",
    "LATE_FAILURES_VERSION",
    "PLACEMENT_RULES_VERSION",
    "QUEUE_IDS_VERSION",
    "REPLACED_BOOTS_VERSION",
]
