"""The part of the replicated state that snapshots contain."""

from __future__ import annotations

from dataclasses import dataclass, field

from .record import Claim, Job, Key, Permit, StoredDocument, StoredOutcome, Vm, Wave, Zone

MAX_STORED_CUT_OFFS = 50


@dataclass(slots=True, kw_only=True)
class Tables:
    """All records of the replicated state.

    Attributes:
        applied_index: Log index of the last applied entry.
        now_ms: Cluster time of the last command in milliseconds; never goes back.
        wall_ms: Wall-clock time of the last command in milliseconds, for display only.
        documents: Active document by environment.
        history: Earlier documents, oldest first.
        outcomes: First outcome by request ID, oldest first.
        keys: Keys by ID.
        zones: Availability zones by name.
        vms: VMs by name.
        permits: Disruption permits by VM.
        waves: Maintenance waves by ID, oldest first.
        claims: Claims by ID, oldest first.
        jobs: Jobs by ID.
        ended_jobs: IDs of ended jobs, oldest first.
        cut_offs: Values of `cut_off_run_s` in seconds that were replaced by a smaller one, each with the log
            index of the replacement. A home that was partitioned before it still renews leases by the old value.
    """

    applied_index: int = 0
    now_ms: int = 0
    wall_ms: int = 0
    documents: dict[str, StoredDocument] = field(default_factory=dict)
    history: list[StoredDocument] = field(default_factory=list)
    outcomes: dict[str, StoredOutcome] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    zones: dict[str, Zone] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    permits: dict[str, Permit] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    ended_jobs: list[str] = field(default_factory=list)
    cut_offs: list[tuple[int, float]] = field(default_factory=list)

    def record_cut_off(self, replaced_s: float) -> None:
        """Stores a replaced value of `cut_off_run_s`.

        Beyond the maximum, the two oldest values are merged into the larger one, so that no lease is taken to
        have ended too early.
        """
        self.cut_offs.append((self.applied_index, replaced_s))
        if len(self.cut_offs) > MAX_STORED_CUT_OFFS:
            first, second = self.cut_offs[:2]
            self.cut_offs[:2] = [(second[0], max(first[1], second[1]))]


__all__ = ["Tables"]
