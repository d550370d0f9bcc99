"""One step of a workflow."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """A number of equal tasks and what they need.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processor of one task in thousandths of a core.
        memory_mb: Memory of one task.
        accelerators: Accelerators of one task.
        estimate_ms: Rough duration of one task, as the submitter sees it.
        after: Earlier steps, by number, that must be done first.
        checkpointing: Whether tasks save their progress.
        gang: Whether the tasks work only together.
        tightly_coupled: Whether the tasks are slower on more than one rack.
        label: Label that a VM must have; empty for any.
        data_rack: Rack that holds the data; empty for none.
        spread_limit: Most tasks of the step on one VM; 0 for no limit.
        duplicates: Whether copies of a task may run in parallel.
        long_running: Whether tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_ms: Tail of the response time that a long-running task must keep; 0 for none.
        fills: Whether tasks use only the processor that others leave.
        disruption_allowance: Tasks of a long-running step that the system may interrupt at the same time;
            None when the step sets no allowance.
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
