"""Commands of the replicated log."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from .accept_job import AcceptJob
from .cancel_job import CancelJob
from .cancel_jobs import CancelJobs
from .change_vm import ChangeVm
from .claim_request import ClaimRequest
from .end_run import EndRun
from .grant_key import GrantKey
from .move_vm import MoveVm
from .promote_document import PromoteDocument
from .reclaim_run import ReclaimRun
from .register_vm import RegisterVm
from .reject_job import RejectJob
from .release_claim import ReleaseClaim
from .resolve_claim import ResolveClaim
from .return_permit import ReturnPermit
from .set_zone import SetZone
from .start_run import StartRun
from .take_permit import TakePermit
from .trial_document import TrialDocument
from .withdraw_key import WithdrawKey

OperatorCommand = TrialDocument | PromoteDocument | GrantKey | WithdrawKey | SetZone

Command = Annotated[
    TrialDocument
    | PromoteDocument
    | GrantKey
    | WithdrawKey
    | SetZone
    | RegisterVm
    | ChangeVm
    | MoveVm
    | TakePermit
    | ReturnPermit
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
    "CancelJob",
    "CancelJobs",
    "ChangeVm",
    "ClaimRequest",
    "Command",
    "EndRun",
    "GrantKey",
    "MoveVm",
    "OperatorCommand",
    "PromoteDocument",
    "ReclaimRun",
    "RegisterVm",
    "RejectJob",
    "ReleaseClaim",
    "ResolveClaim",
    "ReturnPermit",
    "SetZone",
    "StartRun",
    "TakePermit",
    "TrialDocument",
    "WithdrawKey",
]
