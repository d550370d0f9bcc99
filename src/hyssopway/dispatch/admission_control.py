"""Refuses jobs that cannot end in time, on behalf of one leader."""

from __future__ import annotations

import re
from dataclasses import dataclass
from math import isinf
from typing import TYPE_CHECKING

from hyssopway.clock import wall_ms
from hyssopway.event import Event, log_event
from hyssopway.scheduling.admission import RetryTimes, estimate_end, excess_ms, is_refused
from hyssopway.scheduling.pool_shares import ResourceAmounts
from hyssopway.workflow import WorkflowStatus

from .ordering import critical_path_ms
from .pool_backlog import PoolBacklog, collect_backlogs, describe_work, has_deadline, longest_latency_ms

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from hyssopway.scheduling.admission import Estimate, OpenWork
    from hyssopway.workflow import Queue, WorkflowSpec

    from .duration_scale import DurationScale
    from .leadership import Leadership
    from .vm_link import VmLink

# A new leader does not know which runs have ended until it has polled the VMs.
WARM_UP_S = 2.0
# Walking all open workflows takes a few milliseconds; in between, accepted and cancelled jobs are added and removed.
REFRESH_S = 0.25
LONGEST_RETRY_S = 30
MAX_CHECKED_ESTIMATES = 2000
REPORT_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRefusal:
    """Refusal of a job; nothing of it was stored.

    Attributes:
        reason: Reason for the caller.
        retry_after_s: Whole seconds after which the job would be served; None if it never would.
    """

    reason: str
    retry_after_s: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedEstimate:
    """Estimate of an accepted job that is compared with its end.

    Attributes:
        end_ms: Estimated wall-clock time of the end.
        deadline_ms: Wall-clock time at which a result loses its value.
    """

    end_ms: float
    deadline_ms: float


class AdmissionControl:
    """Admission of the jobs of one term; all its state is soft.

    Attributes:
        leadership: Term whose replicated state has the open work.
        links: Links to VMs by VM ID.
        scale: Ratio of actual to declared run durations.
        list_arriving: Returns by pool when further VMs may join it, as wall-clock times in milliseconds, in order;
            None while that is unknown.
        counters: Numbers of scheduling decisions.
        backlogs: Backlog by pool.
        collected_at: Local time at which the backlogs were collected.
        collected_ms: Wall-clock time at which the backlogs were collected, in milliseconds.
        retry_times: Times at which refused callers were asked to return.
        proposed: IDs of accepted jobs whose command may not be applied yet; they are never refused.
        estimates: Estimates of accepted jobs by workflow ID.
        error_ms: Median difference between ends and their estimates in the last report, in milliseconds.
        reported_at: Local time of the last report on the accuracy of estimates.
    """

    __slots__ = (
        "backlogs",
        "collected_at",
        "collected_ms",
        "counters",
        "error_ms",
        "estimates",
        "leadership",
        "links",
        "list_arriving",
        "proposed",
        "reported_at",
        "retry_times",
        "scale",
    )

    def __init__(
        self,
        *,
        leadership: Leadership,
        links: dict[str, VmLink],
        scale: DurationScale,
        list_arriving: Callable[[str], list[float] | None],
        counters: Counter[str],
    ) -> None:
        self.leadership = leadership
        self.links = links
        self.scale = scale
        self.list_arriving = list_arriving
        self.counters = counters
        self.backlogs: dict[str, PoolBacklog] = {}
        self.collected_at = float("-inf")
        self.collected_ms = 0.0
        self.retry_times = RetryTimes(longest_s=LONGEST_RETRY_S)
        self.proposed: set[str] = set()
        self.estimates: dict[str, CheckedEstimate] = {}
        self.error_ms = 0
        self.reported_at = float("-inf")

    def check(
        self, *, workflow_id: str, spec: WorkflowSpec, queue: Queue, team: str
    ) -> AdmissionRefusal | None:
        """Decides whether a job is refused; None if it is accepted, which then counts as open work.

        The caller has to have checked that the ID is not that of an accepted job.
        """
        if workflow_id in self.proposed:
            # An earlier request with this ID may still take effect, so a refusal might not be true.
            return None
        reason = self._explain_impossible(spec, team=team)
        if reason is not None:
            return AdmissionRefusal(reason=reason)
        workflows = self.leadership.state.tables.workflows
        self.proposed = {known for known in self.proposed if known not in workflows}
        refusal = None
        if has_deadline(spec, queue=queue):
            refusal = self._check_load(workflow_id, spec=spec, queue=queue, team=team)
        if refusal is None:
            self.proposed.add(workflow_id)
        return refusal

    def record_cancelled(self, workflow_id: str) -> None:
        """Removes the work of a cancelled workflow."""
        for backlog in self.backlogs.values():
            backlog.open_work.pop(f"{workflow_id}.0", None)

    def report_accuracy(self) -> None:
        """Compares estimates with the ends of their jobs, and logs and counts the differences."""
        now = self.leadership.clock()
        if now - self.reported_at < REPORT_INTERVAL_S:
            return
        self.reported_at = now
        errors, overdue = [], 0
        now_ms = wall_ms()
        for workflow_id, estimate in list(self.estimates.items()):
            workflow = self.leadership.state.tables.workflows.get(workflow_id)
            if workflow is not None and not workflow.status.is_final:
                if now_ms <= estimate.deadline_ms:
                    continue
                overdue += 1
            elif workflow is not None and workflow.status is WorkflowStatus.COMPLETED:
                errors.append(round(workflow.ended_ms - estimate.end_ms))
                overdue += workflow.ended_ms > estimate.deadline_ms
            del self.estimates[workflow_id]
        if not errors and not overdue:
            return
        errors.sort()
        if errors:
            self.error_ms = errors[len(errors) // 2]
        self.counters["admission_estimates_checked"] += len(errors)
        self.counters["admission_accepted_overdue"] += overdue
        self.counters["admission_error_ms"] += sum(errors)
        log_event(
            Event.ADMISSION_MEASURED,
            count=len(errors),
            median_ms=self.error_ms if errors else 0,
            lowest_ms=errors[0] if errors else 0,
            highest_ms=errors[-1] if errors else 0,
            overdue=overdue,
        )

    def _explain_impossible(self, spec: WorkflowSpec, *, team: str) -> str | None:
        policy = self.leadership.state.indexes.teams.get(team)
        if policy is None:
            return None
        limit = policy.upper_limit
        for number, step in enumerate(spec.steps):
            count = step.count if step.gang else 1
            for name, needed, most in (
                ("CPU in millicores", step.cpu_millis, limit.cpu_millis),
                ("memory in megabytes", step.memory_mb, limit.memory_mb),
                ("accelerators", step.accelerators, limit.accelerators),
            ):
                if most and count * needed > most:
                    what = f"its {count} tasks, which start together, need" if step.gang else "a task needs"
                    return (
                        f"steps.{number}: {what} {count * needed} of {name}, "
                        f"the upper limit of team {policy.name!r} is {most}"
                    )
        return None

    def _check_load(
        self, workflow_id: str, *, spec: WorkflowSpec, queue: Queue, team: str
    ) -> AdmissionRefusal | None:
        self._refresh()
        backlog = self.backlogs.get(queue.pool)
        if backlog is None or not self._is_certain(queue.pool):
            self.counters["admission_uncertain"] += 1
            return None
        now_ms = float(wall_ms())
        queue_id = self.leadership.state.indexes.id_of(queue)
        scale = self.scale.read(queue_id)
        path_ms = critical_path_ms(spec=spec, progress=None)
        # A job that declares much less than the others of its queue probably lasts as long as they do.
        limit_ms = longest_latency_ms(
            path_ms=max(path_ms, backlog.typical_path_ms(queue_id)), queue=queue, scale=scale
        )
        job = describe_work(
            spec=spec,
            progress=None,
            queue_id=queue_id,
            priority=queue.priority,
            team=team,
            deadline_ms=now_ms + limit_ms,
            scale=scale,
        )
        estimate = self._estimate(job, path_ms=path_ms, backlog=backlog, scale=scale, now_ms=now_ms)
        if isinf(estimate.end_ms):
            # No VM of the pool is known that could ever serve the job.
            self.counters["admission_uncertain"] += 1
            return None
        if is_refused(estimate, now_ms=now_ms, limit_ms=limit_ms):
            return self._refuse(
                workflow_id, job=job, queue=queue, estimate=estimate, limit_ms=limit_ms, now_ms=now_ms
            )
        self.counters["admission_accepted"] += 1
        backlog.open_work[f"{workflow_id}.0"] = job
        if estimate.start_ms > now_ms and len(self.estimates) < MAX_CHECKED_ESTIMATES:
            self.estimates[workflow_id] = CheckedEstimate(
                end_ms=estimate.end_ms, deadline_ms=now_ms + limit_ms
            )
        return None

    def _estimate(
        self, job: OpenWork, *, path_ms: float, backlog: PoolBacklog, scale: float, now_ms: float
    ) -> Estimate:
        teams = self.leadership.state.indexes.teams
        return estimate_end(
            job,
            now_ms=now_ms,
            path_ms=path_ms * min(1.0, scale),
            open_work=backlog.open_work.values(),
            # Since the backlog was collected, some of it has been served.
            capacity=backlog.capacity_steps(now_ms=self.collected_ms),
            weights={name: policy.weight for name, policy in teams.items()},
        )

    def _refuse(
        self,
        workflow_id: str,
        *,
        job: OpenWork,
        queue: Queue,
        estimate: Estimate,
        limit_ms: float,
        now_ms: float,
    ) -> AdmissionRefusal:
        backlog = self.backlogs[queue.pool]
        steps = backlog.capacity_steps(now_ms=self.collected_ms)
        cores, most_cores = steps[0].capacity.cpu_millis / 1000, steps[-1].capacity.cpu_millis / 1000
        retry_after_s = self.retry_times.next_s(
            queue.pool,
            excess_ms=excess_ms(estimate, now_ms=now_ms, limit_ms=limit_ms),
            job_ms=job.work.dominant_share(steps[-1].capacity),
            now_ms=now_ms,
        )
        team = self.leadership.state.indexes.team_name(job.team)
        self.counters["admission_refused"] += 1
        self.counters[f"refused_queue_{_metric_name(queue.name)}"] += 1
        self.counters[f"refused_team_{_metric_name(team)}"] += 1
        log_event(
            Event.WORKFLOW_REFUSED_FOR_LOAD,
            workflow=workflow_id,
            queue=queue.name,
            team=team,
            end_ms=round(estimate.end_ms - now_ms),
            limit_ms=round(limit_ms),
            retry_after_s=retry_after_s,
            before_core_s=round(estimate.work_before.cpu_millis / 1e6, 1),
            job_core_s=round(job.work.cpu_millis / 1e6, 1),
            cores=round(cores),
            cores_arriving=round(most_cores - cores),
            scale=round(self.scale.read(job.queue), 2),
            backlog_age_ms=round(now_ms - self.collected_ms),
            error_ms=self.error_ms,
        )
        reason = (
            f"the job was not run: queue {queue.name!r} would end it in {estimate.end_ms - now_ms:.0f} ms, "
            f"later than {limit_ms:.0f} ms"
        )
        return AdmissionRefusal(reason=reason, retry_after_s=retry_after_s)

    def _is_certain(self, pool: str) -> bool:
        """Returns whether the leader knows the pool's runs: it has led for some time and polled most of the VMs."""
        if self.leadership.clock() - self.leadership.started_at < WARM_UP_S:
            return False
        links = [
            self.links.get(vm_id) for vm_id, vm in self.leadership.state.tables.vms.items() if vm.pool == pool
        ]
        polled = sum(link is not None and link.has_acked_term for link in links)
        return bool(links) and 2 * polled > len(links)

    def _refresh(self) -> None:
        now = self.leadership.clock()
        if now - self.collected_at < REFRESH_S:
            return
        state = self.leadership.state
        self.collected_at, self.collected_ms = now, float(wall_ms())
        self.backlogs = collect_backlogs(state=state, scale=self.scale.read, now_ms=self.collected_ms)
        vms = sorted(state.tables.vms.values(), key=lambda vm: vm.capacity.cpu_millis)
        if not vms:
            return
        size = vms[len(vms) // 2].capacity
        for pool, backlog in list(self.backlogs.items()):
            times = self.list_arriving(pool)
            if times is None:
                del self.backlogs[pool]
                continue
            backlog.arriving = [(at_ms, ResourceAmounts.of(size)) for at_ms in times]


def _metric_name(name: str) -> str:
    """Returns a name with only the characters that the metrics format allows."""
    return re.sub(r"\W", "_", name, flags=re.ASCII)


__all__ = ["AdmissionControl", "AdmissionRefusal"]
