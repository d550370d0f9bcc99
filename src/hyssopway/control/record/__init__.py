"""Records of the replicated state."""

from __future__ import annotations

from .claim import Claim
from .drain_decision import DrainDecision
from .job import Job
from .job_spec import JobSpec
from .job_status import JobStatus
from .key import Key
from .lost_run import LostRun
from .permit import Permit
from .permit_purpose import PermitPurpose
from .reclaim_action import ReclaimAction
from .run import Run
from .run_outcome import RunOutcome
from .stored_document import StoredDocument
from .stored_outcome import StoredOutcome
from .vm import Vm
from .vm_state import VmState
from .wave import Wave
from .wave_status import WaveStatus
from .wave_vm import WaveVm, WaveVmStatus
from .zone import Zone
from .zone_status import ZoneStatus

__all__ = [
    "Claim",
    "DrainDecision",
    "Job",
    "JobSpec",
    "JobStatus",
    "Key",
    "LostRun",
    "Permit",
    "PermitPurpose",
    "ReclaimAction",
    "Run",
    "RunOutcome",
    "StoredDocument",
    "StoredOutcome",
    "Vm",
    "VmState",
    "Wave",
    "WaveStatus",
    "WaveVm",
    "WaveVmStatus",
    "Zone",
    "ZoneStatus",
]
