"""One step of a workflow."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A group of identical tasks and their requirements.

    Attributes:
        count: Number of tasks.
        cpu_millis: CPU of one task in thousandths of a core.
        memory_mb: Memory of one task in megabytes.
        accelerators: Accelerators of one task.
        estimate_ms: Duration of one task as estimated by the submitter.
        after: Numbers of earlier steps that must be done first.
        checkpointing: Whether tasks save checkpoints.
        gang: Whether the tasks must run at the same time (gang scheduling).
        tightly_coupled: Whether the tasks are slower when spread over several racks.
        label: Label that a VM must have; empty for any VM.
        data_rack: Rack that holds the input data; empty if there is none.
        spread_limit: Maximum number of tasks of the step on one VM; 0 for no limit.
        duplicates: Whether several runs of a task may be in progress at the same time.
        long_running: Whether tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of one image are taken to behave alike.
        target_ms: Target for the tail latency of a long-running task; 0 for none.
        fills: Whether the tasks are best-effort: they use only CPU that other tasks leave idle.
        disruption_allowance: Number of tasks of a long-running step that may be interrupted at the same time;
            None if the step sets no allowance.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    tightly_coupled: bool = False
    label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    disruption_allowance: int | None = None


__all__ = ["Step"]
