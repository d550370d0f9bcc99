"""The part of the agreed state that snapshots hold."""

from __future__ import annotations

from dataclasses import dataclass, field

from .record import Claim, Job, Key, Permit, StoredDocument, StoredOutcome, Vm, Wave, Zone

MAX_STORED_CUT_OFFS = 50


@dataclass(slots=True, kw_only=True)
class Tables:
    """All records of the agreed state.

    Attributes:
        applied_index: Log index of the last command applied.
        now_ms: Agreed time of the last command; never goes back.
        wall_ms: Wall-clock time of the last command, for display only.
        documents: Document in force by environment.
        history: Earlier documents, oldest first.
        outcomes: First outcome by request id, oldest first.
        keys: Keys by id.
        zones: Availability zones by name.
        vms: VMs by name.
        permits: Disruption permits by VM.
        waves: Maintenance waves by id, oldest first.
        claims: Claims by id.
        jobs: Jobs by id.
        ended_jobs: Ids of ended jobs, oldest first.
        cut_offs: Values of `cut_off_run_s` that a smaller one replaced, with the log index; a home that
            was cut off before still renews leases by them.
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
        """Keeps a replaced value; of too many the two oldest become their larger one."""
        self.cut_offs.append((self.applied_index, replaced_s))
        if len(self.cut_offs) > MAX_STORED_CUT_OFFS:
            first, second = self.cut_offs[:2]
            self.cut_offs[:2] = [(second[0], max(first[1], second[1]))]


__all__ = ["Tables"]
