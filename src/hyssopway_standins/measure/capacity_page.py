"""Renders docs/CAPACITY.md."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .capacity import CapacityEstimate


def render_page(capacity: CapacityEstimate, *, origin: dict[str, Any]) -> str:
    """Returns the page as Markdown."""
    parts = [
        _head(capacity, origin=origin),
        _verdicts(capacity),
        _roles(capacity),
        _slopes(capacity),
        _regions(),
    ]
    return "\n\n".join(parts) + "\n"


def _head(capacity: CapacityEstimate, *, origin: dict[str, Any]) -> str:
    target = capacity.target
    return f"""# Capacity at the target

Worked out by `python -m hyssopway_standins.measure.capacity` from the results of `make measure`
(commit {origin["commit"]}, seed {origin["seed"]}, one machine of 10 cores). Do not edit by hand.

The target: {target.workers:,} workers with {target.accelerators:,} accelerators, {target.pools} pools with every
VM maintained once in 7 weeks, {target.teams} teams with urgent work started within {target.urgent_start_s} s,
{target.regions} regions with {target.zones} zones, {target.changes_a_day:,} changes of configuration a day in force
within {target.activation_s:.0f} s, at most {target.node_core:.1%} of a core, {target.node_memory_mb:.0f} MB and
{target.node_bytes_a_second / 1000:.0f} KB/s a node and {target.control_vms} VMs set aside,
{target.failures_a_day} VMs failing and {target.restarts_a_day:,} restarted or replaced on an ordinary day, a rack or
switch a week, a zone a few times a year, regions apart for an hour.

Assumed, since the target does not say: the largest region is {target.skew} times the mean
({target.region_workers:,.0f} workers on {target.region_vms:.1f} control VMs), and a task runs {target.run_s:.0f} s in
the mean, one at a time on each worker."""


def _verdicts(capacity: CapacityEstimate) -> str:
    target, jobs, fleet = capacity.target, capacity.figures["jobs"], capacity.figures["fleet"]
    urgent = jobs["urgent_start_on_full_pool_worst_s"]
    spread = capacity.figures["agreement"]["change in force on 60 followers, max ms"] / 1000
    rows = [
        _verdict("core of a worker's node", capacity.worker_core, target.node_core, "part of a core"),
        _verdict("bytes of a worker's node", capacity.worker_bytes, target.node_bytes_a_second, "bytes/s"),
        _verdict("core of an entry VM", capacity.entry_core, target.node_core, "part of a core"),
        _verdict("memory of an entry VM", capacity.entry_memory_mb, target.node_memory_mb, "MB"),
        _verdict("log entries of the largest region", capacity.log_entries, capacity.log_limit, "entries/s"),
        _verdict("urgent work on a full pool, worst", urgent, target.urgent_start_s, "s"),
        _verdict("change in force on 60 followers, worst", spread, target.activation_s, "s"),
    ]
    decisions = jobs["decisions_21000_workers_scheduler_per_s"]
    rounds = fleet.get("wave_rounds_21000_vms_per_s", 0.0)
    lines = [
        "## What would be met and what would be missed",
        "",
        "| figure | at the target | bound | verdict |",
        "|---|---|---|---|",
        *rows,
        "",
        f"Placement makes {decisions:,.0f} decisions a second at 21,000 workers in one region; the largest region",
        f"needs {target.region_workers / target.run_s:.1f}. A wave must maintain {capacity.maintained_vms_per_h:.0f} VMs an hour",
        f"in all regions; the leader makes {rounds:.1f} rounds a second with 21,000 VMs. The first look of a new leader",
        f"takes {jobs['first_look_21000_workers_ms']:.0f} ms at 21,000 workers and",
        f"{jobs['first_look_1000_workers_ms']:.0f} ms at 1,000, against an election timeout of 600 ms.",
        "",
        "The bound of 2.4% of a core is read as one for the nodes that run the users' work. Entry VMs are the VMs set",
        "aside; the row shows how far one is from the same bound, so that nobody plans them on shared VMs.",
    ]
    return "\n".join(lines)


def _verdict(name: str, value: float, bound: float, unit: str) -> str:
    verdict = "met" if value <= bound else f"**missed by a factor of {value / bound:.1f}**"
    return f"| {name} | {value:.3g} {unit} | {bound:.4g} {unit} | {verdict} |"


def _roles(capacity: CapacityEstimate) -> str:
    target, nodes = capacity.target, capacity.figures["nodes"]
    changes = target.changes_a_second
    return f"""## Roles

| role | state | messages | processor | memory | mechanism | breaks first |
|---|---|---|---|---|---|---|
| entry | sessions of {capacity.entry_workers:,.0f} workers, endpoints, credits, replica of {capacity.state_mb:.0f} MB | syncs of its workers, summaries every 0.5 s to each other entry of the region | {capacity.entry_core:.2f} of a core for syncs, plus its requests | {capacity.entry_memory_mb:.0f} MB | homes spread workers and endpoints over the entries of a zone; slot credits keep six views within the slots | processor for syncs |
| control member | the same replica, log of up to 10,000 entries, a snapshot | one append for many entries from the leader | writes {capacity.log_entries:.0f} entries/s of {capacity.log_limit:,.0f} measured | as an entry | Raft with batched syncs | encoding a snapshot on the event loop |
| leader | progress of 2 or 4 followers, views of the schedulers | appends, heartbeats, contacts of all daemons once a second | {capacity.log_entries:.0f} entries/s and one round of fleet decisions every 0.5 s | as an entry, plus the planner's view | one leader a region; schedulers restart from agreed state | first look of a new leader at many workers |
| fan-out | replica, last 2,000 entries | {changes:.2f} changes/s of configuration and {capacity.log_entries:.0f} entries/s of its region to each follower | one encoded reply for each follower and change | as an entry | any daemon serves `watch`, so followers form a tree inside a zone; the leader serves only members | not reached: a region has at most 5 daemons |
| worker's node | none of its own | a sync, {nodes["worker_bytes_sent_per_sync"]:.0f} bytes out and {nodes["worker_bytes_received_per_sync"]:.0f} in while idle | {capacity.worker_core:.4f} of a core with the stand-in's client | the users' agent, not measured here | leases and orders ride on one exchange | not reached |
| zone | homes of its workers and endpoints | those of its entries | the sum of its entries | the sum of its entries | serves open queues while cut off; see decision 0002 | its entries |
| endpoint | none of the system | an announcement every 0.5 s | not measured | not measured | lease of 2 s at its home | not reached |
| command line | none | one request a command | not measured | not measured | a process for each command | not reached |"""


def _slopes(capacity: CapacityEstimate) -> str:
    nodes, agreement, jobs = (capacity.figures[area] for area in ("nodes", "agreement", "jobs"))
    rows = [
        ("processor of all daemons for a worker", nodes["cpu_per_worker"], "core", nodes["cpu_fit_error"]),
        ("processor of a worker", nodes["worker_cpu"], "core", nodes["worker_cpu_fit_error"]),
        ("memory of a daemon for a worker", nodes["daemon_rss_kb_per_worker"], "KB", nodes["rss_fit_error"]),
        ("memory of an idle daemon", nodes["daemon_rss_mb_idle"], "MB", None),
        ("six idle daemons", nodes["idle_cpu_of_all_six_daemons"], "core", None),
    ]
    for name in ("VM", "key"):
        error = agreement.get(f"memory per {name}, worst fit error")
        rows.append((f"agreed state for a {name}", agreement[f"memory per {name} KB"], "KB", error))
    exponent = jobs["decision_cost_slope_scheduler_exponent"]
    rows.append(("exponent of the cost of a placement decision over workers", exponent, "", None))
    lines = [
        "## Slopes",
        "",
        "| slope | value | largest distance from the fit |",
        "|---|---|---|",
        *(
            f"| {name} | {value:.3g} {unit} | {'-' if error is None else f'{error:.1%}'} |"
            for name, value, unit, error in rows
        ),
        "",
        "`measure nodes` gives the first five (0, 60, 180 and 360 workers, processes on loopback), `measure agreement`",
        "the state (three sizes), `measure jobs` the exponent (16, 1,000 and 21,000 workers).",
    ]
    return "\n".join(lines)


def _regions() -> str:
    return """## What is not built yet

- Regions: each region is a whole deployment today. Documents and keys must travel from the home region's log to the
  others over the same watch stream, and upper limits must be divided in parts (escrow, decision 0002). Nothing of this
  runs yet, so the change of 22,000 configurations a day in all regions is shown for one region only.
- Members a region: settings list all daemons of a region; at 35 VMs that is at most 5 entries a list.
- A region with three members loses tolerance while one is replaced; the three largest regions should have five.
- The processor time of entry VMs for syncs falls with the number of syncs a second; longer waits of a sync are the
  mechanism for it, bounded by the lease of 4 s and the start of urgent work within 3.3 s."""


__all__ = ["render_page"]
