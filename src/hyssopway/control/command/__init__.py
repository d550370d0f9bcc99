"""Commands that the replicated log consists of."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from .accept_job import AcceptJob
from .advance_wave import AdvanceWave
from .cancel_job import CancelJob
from .cancel_jobs import CancelJobs
from .change_vm import ChangeVm
from .claim_request import ClaimRequest
from .control_wave import ControlWave, WaveAction
from .decide_drain import DecideDrain
from .drain_vm import DrainVm
from .end_run import EndRun
from .grant_key import GrantKey
from .move_vm import MoveVm
from .promote_document import PromoteDocument
from .reclaim_run import ReclaimRun
from .record_drain_question import RecordDrainQuestion
from .register_vm import RegisterVm
from .reject_job import RejectJob
from .release_claim import ReleaseClaim
from .request_member_change import RequestMemberChange
from .request_move import RequestMove
from .resolve_claim import ResolveClaim
from .return_permit import ReturnPermit
from .return_vm import ReturnVm
from .set_zone import SetZone
from .start_run import StartRun
from .start_wave import StartWave
from .take_permit import TakePermit
from .trial_document import TrialDocument
from .withdraw_key import WithdrawKey

OperatorCommand = (
    TrialDocument
    | PromoteDocument
    | GrantKey
    | WithdrawKey
    | SetZone
    | DrainVm
    | ReturnVm
    | RequestMove
    | DecideDrain
    | StartWave
    | ControlWave
    | RequestMemberChange
)

Command = Annotated[
    TrialDocument
    | PromoteDocument
    | GrantKey
    | WithdrawKey
    | SetZone
    | DrainVm
    | ReturnVm
    | RequestMove
    | DecideDrain
    | StartWave
    | ControlWave
    | RequestMemberChange
    | AdvanceWave
    | RegisterVm
    | ChangeVm
    | MoveVm
    | TakePermit
    | ReturnPermit
    | RecordDrainQuestion
    | ClaimRequest
    | ResolveClaim
    | ReleaseClaim
    | AcceptJob
    | StartRun
    | EndRun
    | CancelJob
    | CancelJobs
    | ReclaimRun
    | RejectJob,
    Field(discriminator="kind"),
]

__all__ = [
    "AcceptJob",
    "AdvanceWave",
    "CancelJob",
    "CancelJobs",
    "ChangeVm",
    "ClaimRequest",
    "Command",
    "ControlWave",
    "DecideDrain",
    "DrainVm",
    "EndRun",
    "GrantKey",
    "MoveVm",
    "OperatorCommand",
    "PromoteDocument",
    "ReclaimRun",
    "RecordDrainQuestion",
    "RegisterVm",
    "RejectJob",
    "ReleaseClaim",
    "RequestMemberChange",
    "RequestMove",
    "ResolveClaim",
    "ReturnPermit",
    "ReturnVm",
    "SetZone",
    "StartRun",
    "StartWave",
    "TakePermit",
    "TrialDocument",
    "WaveAction",
    "WithdrawKey",
]
