"""Raft consensus of the control members on a replicated log."""

from __future__ import annotations

from .cancellation import run_to_completion
from .configuration import Configuration, daemon_of
from .election import run_elections
from .member import Member
from .member_dump import dump_member
from .membership import AddLearner, MemberChange, PromoteLearner, RemoveMember
from .replication import answer_append, answer_snapshot, run_replication
from .role import Role
from .snapshot_assembler import SnapshotAssembler
from .storage_error import InitialiseRefusedError, LogDamagedError, StorageError
from .store import Store
from .timers import Timers
from .voting import answer_vote

__all__ = [
    "AddLearner",
    "Configuration",
    "InitialiseRefusedError",
    "LogDamagedError",
    "Member",
    "MemberChange",
    "PromoteLearner",
    "RemoveMember",
    "Role",
    "SnapshotAssembler",
    "StorageError",
    "Store",
    "Timers",
    "answer_append",
    "answer_snapshot",
    "answer_vote",
    "daemon_of",
    "dump_member",
    "run_elections",
    "run_replication",
    "run_to_completion",
]
