"""Calls the function that applies a command, by its type."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Ok

from hyssopway.control.change import Change
from hyssopway.control.command import (
    AcceptJob,
    AdvanceWave,
    CancelJob,
    CancelJobs,
    ChangeVm,
    ClaimRequest,
    ControlWave,
    DecideDrain,
    DrainVm,
    EndRun,
    GrantKey,
    MoveVm,
    PromoteDocument,
    ReclaimRun,
    RecordDrainQuestion,
    RegisterVm,
    RejectJob,
    ReleaseClaim,
    RequestMemberChange,
    RequestMove,
    ResolveClaim,
    ReturnPermit,
    ReturnVm,
    SetZone,
    StartRun,
    StartWave,
    TakePermit,
    TrialDocument,
    WithdrawKey,
)

from .claims import claim_request, release_claim, resolve_claim
from .documents import promote_document, trial_document
from .drains import decide_drain, drain_vm, record_drain_question, request_move, return_vm
from .jobs import accept_job, cancel_job, cancel_jobs, reject_job
from .keys import grant_key, withdraw_key
from .permits import return_permit, take_permit
from .runs import end_run, reclaim_run, start_run
from .vms import change_vm, move_vm, register_vm
from .waves import advance_wave, control_wave, start_wave
from .zones import set_zone

if TYPE_CHECKING:
    from expression import Result

    from hyssopway.control.command import Command
    from hyssopway.control.state import ControlState
    from hyssopway.result import Failure


def apply_command(*, state: ControlState, command: Command) -> Result[Change, Failure]:
    """Applies one command; a command that is refused changes nothing."""
    match command:
        case TrialDocument():
            return trial_document(state, command)
        case PromoteDocument():
            return promote_document(state, command)
        case GrantKey():
            return grant_key(state, command)
        case WithdrawKey():
            return withdraw_key(state, command)
        case SetZone():
            return set_zone(state, command)
        case DrainVm():
            return drain_vm(state, command)
        case ReturnVm():
            return return_vm(state, command)
        case RequestMove():
            return request_move(state, command)
        case DecideDrain():
            return decide_drain(state, command)
        case StartWave():
            return start_wave(state, command)
        case ControlWave():
            return control_wave(state, command)
        case RequestMemberChange():
            return Ok(Change(reference=command.member_id))
        case AdvanceWave():
            return advance_wave(state, command)
        case RegisterVm():
            return register_vm(state, command)
        case ChangeVm():
            return change_vm(state, command)
        case MoveVm():
            return move_vm(state, command)
        case TakePermit():
            return take_permit(state, command)
        case RecordDrainQuestion():
            return record_drain_question(state, command)
        case ReturnPermit():
            return return_permit(state, command)
        case ClaimRequest():
            return claim_request(state, command)
        case ResolveClaim():
            return resolve_claim(state, command)
        case ReleaseClaim():
            return release_claim(state, command)
        case AcceptJob():
            return accept_job(state, command)
        case StartRun():
            return start_run(state, command)
        case EndRun():
            return end_run(state, command)
        case CancelJob():
            return cancel_job(state, command)
        case CancelJobs():
            return cancel_jobs(state, command)
        case ReclaimRun():
            return reclaim_run(state, command)
        case RejectJob():
            return reject_job(state, command)


__all__ = ["apply_command"]
