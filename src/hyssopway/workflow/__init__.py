"""Workflows of many tasks: their replicated state and the commands that change it."""

from __future__ import annotations

from .active_run import ActiveRun
from .advisor_policy import AdvisorPolicy
from .apply_crashes import PROBATION_MS
from .capacity import Capacity
from .commands import (
    AcceptWorkflow,
    AddOccurrence,
    BeginMaintenance,
    CancelWorkflow,
    Command,
    ConfirmMaintenance,
    DeleteWorkflows,
    EndRuns,
    PutDocument,
    RecordMachineOrders,
    RegisterVm,
    RemoveVm,
    RunStart,
    SetStateVersion,
    SetZoneEvacuated,
    StartRuns,
    StartWave,
)
from .crash_blame import CONCLUSIVE_CRASHES, SUSPICIOUS_CRASHES, is_held_back
from .crash_count import NO_CRASHES, CrashCount
from .crash_suspects import CrashSuspects
from .fleet_document import FleetDocument
from .indexes import Indexes, Usage
from .pool_policy import PoolPolicy
from .queue import Queue
from .queue_id import QueueId, make_queue_id
from .run_end import RunEnd
from .run_outcome import RunOutcome
from .start_rules import SkippedStart, StartRule
from .state import WorkflowState, build_codecs, encode_command
from .state_version import (
    BOOT_FENCES_VERSION,
    CURRENT_VERSION,
    LATE_FAILURES_VERSION,
    PLACEMENT_RULES_VERSION,
    QUEUE_IDS_VERSION,
)
from .step import Step
from .step_progress import StepProgress
from .tables import Tables
from .task_copies import may_start_copy
from .task_id import TaskId
from .team_policy import TeamPolicy
from .vm_record import VmRecord
from .wave_record import WaveRecord
from .workflow import Workflow
from .workflow_spec import WorkflowSpec
from .workflow_status import WorkflowStatus

__all__ = [
    "BOOT_FENCES_VERSION",
    "CONCLUSIVE_CRASHES",
    "CURRENT_VERSION",
    "LATE_FAILURES_VERSION",
    "NO_CRASHES",
    "PLACEMENT_RULES_VERSION",
    "PROBATION_MS",
    "QUEUE_IDS_VERSION",
    "SUSPICIOUS_CRASHES",
    "AcceptWorkflow",
    "ActiveRun",
    "AddOccurrence",
    "AdvisorPolicy",
    "BeginMaintenance",
    "CancelWorkflow",
    "Capacity",
    "Command",
    "ConfirmMaintenance",
    "CrashCount",
    "CrashSuspects",
    "DeleteWorkflows",
    "EndRuns",
    "FleetDocument",
    "Indexes",
    "PoolPolicy",
    "PutDocument",
    "Queue",
    "QueueId",
    "RecordMachineOrders",
    "RegisterVm",
    "RemoveVm",
    "RunEnd",
    "RunOutcome",
    "RunStart",
    "SetStateVersion",
    "SetZoneEvacuated",
    "SkippedStart",
    "StartRule",
    "StartRuns",
    "StartWave",
    "Step",
    "StepProgress",
    "Tables",
    "TaskId",
    "TeamPolicy",
    "Usage",
    "VmRecord",
    "WaveRecord",
    "Workflow",
    "WorkflowSpec",
    "WorkflowState",
    "WorkflowStatus",
    "build_codecs",
    "encode_command",
    "is_held_back",
    "make_queue_id",
    "may_start_copy",
]
