"""Catalogue of log events; `docs/events.md` documents them."""

from __future__ import annotations

from enum import Enum


class Event(Enum):
    """A log event: number, level and message template."""

    DAEMON_STARTED = (
        1001,
        "INFO",
        "daemon {daemon} in zone {zone} listens for HTTP on {http} and for peers on {peer}",
    )
    DAEMON_STOPPING = (1002, "INFO", "daemon is stopping, {open_requests} requests in progress")
    DAEMON_STOPPED = (1003, "INFO", "daemon stopped")
    SETTINGS_RELOADED = (1004, "INFO", "settings reloaded from {path}")
    SETTINGS_REJECTED = (1005, "ERROR", "settings are invalid: {problem}")
    STATE_DUMPED = (1006, "INFO", "state dumped to {path}")
    TASK_FAILED = (1007, "ERROR", "task {task} failed and is restarted: {error}")
    SETTINGS_NEED_RESTART = (1008, "WARNING", "changed settings {fields} take effect only after a restart")
    HTTP_HANDLER_FAILED = (1009, "ERROR", "{method} {path} failed: {error}")
    CONNECTIONS_CLOSED_EARLY = (
        1011,
        "WARNING",
        "{count} connections closed before their requests were answered ({reasons}), {held_kb} kB held by unfinished ones",
    )
    DAEMON_DRAINING = (1010, "INFO", "daemon reports itself unhealthy and stops in {seconds:.1f} s")
    ELECTION_STARTED = (2001, "INFO", "election for term {term} started")
    LEADER_ELECTED = (2002, "INFO", "this member was elected leader of term {term}")
    LEADER_STEPPED_DOWN = (2003, "WARNING", "leader of term {term} stepped down: {reason}")
    QUORUM_LOST = (2004, "ERROR", "quorum lost: {reachable} of {voters} voters are reachable")
    LOG_TRUNCATED_AT_TAIL = (
        2005,
        "WARNING",
        "log ended in an incomplete record, {dropped_bytes} bytes truncated",
    )
    LOG_DAMAGED = (2006, "CRITICAL", "log is corrupt at byte {offset}: {problem}")
    STORAGE_FAILED = (2007, "ERROR", "storage failed: {error}")
    SNAPSHOT_WRITTEN = (2008, "INFO", "snapshot at index {index} written, {size_bytes} bytes")
    SNAPSHOT_INSTALLED = (2009, "INFO", "snapshot at index {index} installed")
    MEMBERSHIP_CHANGED = (2010, "INFO", "voters {voters}, learners {learners}")
    DISK_STALLED = (
        2011,
        "ERROR",
        "local disk delays the cluster: synced to index {synced_index}, a quorum of the other voters to {index}",
    )
    MEMBER_CHANGE_ASKED = (2012, "INFO", "operator {operator} requested to {action} member {member}")
    INITIALISE_REFUSED = (2013, "ERROR", "initialisation of a new cluster refused: {reason}")
    MEMBER_WAITS = (
        2014,
        "WARNING",
        "member {member} belongs to no cluster and waits for an operator to add it",
    )
    PEER_CONNECTED = (2101, "DEBUG", "connected to peer {peer}")
    PEER_LOST = (2102, "WARNING", "connection to peer {peer} lost: {error}")
    PEER_REFUSED = (2103, "WARNING", "peer connection refused: {reason}")
    AUTHORITY_EXPIRED = (
        2201,
        "WARNING",
        "replicated state not confirmed for {age_s:.1f} s, requests that need a key are refused",
    )
    AUTHORITY_CONFIRMED = (2202, "INFO", "replicated state is confirmed again")
    DOCUMENT_IN_FORCE = (3001, "INFO", "{environment} document generation {generation} is active")
    KEY_GRANTED = (3002, "INFO", "key {key} granted to team {team}")
    KEY_WITHDRAWN = (3003, "INFO", "key {key} withdrawn")
    ZONE_CHANGED = (3004, "INFO", "zone {zone} is {status}")
    ENDPOINT_ANNOUNCED = (4001, "INFO", "endpoint {endpoint} of service {service} announced")
    ENDPOINT_LEFT = (4002, "INFO", "endpoint {endpoint} left: {reason}")
    ENDPOINT_EJECTED = (4003, "WARNING", "endpoint {endpoint} ejected for {for_s:.1f} s: {reason}")
    REQUEST_REFUSED = (4004, "DEBUG", "request to {service} refused: {code} {message}")
    REQUEST_FAILED = (4005, "WARNING", "request to {service} failed: {code} {message}")
    CLAIM_UNRESOLVED = (4006, "WARNING", "outcome of claim {claim} is unknown")
    ANSWER_ABORTED = (
        4008,
        "WARNING",
        "response of {endpoint} was incomplete, connection to the caller aborted: {error}",
    )
    HOLDERS_SILENT = (
        4007,
        "WARNING",
        "endpoint {endpoint} changed its home; {daemons} did not report the credits they hold",
    )
    WORKER_CONNECTED = (5001, "INFO", "worker {vm} syncs with this daemon, home epoch {epoch}")
    WORKER_LOST = (5002, "WARNING", "lease of worker {vm} expired, no contact for {silent_s:.1f} s")
    JOB_PLACED = (5003, "DEBUG", "job {job} run {epoch} placed on {vm}: {reason}")
    JOB_ENDED = (5004, "DEBUG", "job {job} ended: {outcome}")
    VM_QUARANTINED = (5005, "WARNING", "VM {vm} quarantined: {reason}")
    VM_RELEASED = (5006, "INFO", "VM {vm} released from quarantine")
    JOB_RECLAIMED = (5007, "INFO", "job {job} reclaimed from {vm} by {action}: {reason}")
    HOME_LOST = (5008, "WARNING", "no contact with home {home} for {silent_s:.0f} s, its runs are ended")
    VM_STATE_CHANGED = (6001, "INFO", "VM {vm} is {state}: {reason}")
    VM_MOVED = (6002, "INFO", "VM {vm} moved from pool {source} to pool {target}: {reason}")
    WAVE_CHANGED = (6003, "INFO", "wave {wave} is {status}: {reason}")
    PERMIT_REFUSED = (6004, "INFO", "permit for {vm} refused: {reason}")
    PLATFORM_FAILED = (6005, "WARNING", "platform call {call} failed: {error}")
    OPERATOR_NEEDED = (6006, "WARNING", "{subject} needs a decision by an operator: {question}")
    BUDGET_BROKEN = (
        6007,
        "ERROR",
        "failures alone exceed an availability budget, planned stops are suspended: {reason}",
    )
    BUDGET_RESTORED = (
        6008,
        "INFO",
        "failures are within all availability budgets again, planned stops resume",
    )
    WAVE_ADVANCED = (6009, "INFO", "{wave}: VM {vm} is {status}")

    COMMAND_UNKNOWN = (7001, "ERROR", "log entry {index} is unknown to this release: {error}")
    VM_ANNOUNCED = (7002, "INFO", "VM {vm} of pool {pool} at {address} announced, draining {draining}")
    VM_HELD = (7003, "INFO", "VM {vm} acknowledged fencing token {token} and lists {runs} runs")
    VM_SILENT = (7004, "WARNING", "VM {vm} at {address} does not answer: {reason}")
    VM_GONE = (7005, "INFO", "VM {vm} is gone: {reason}")
    LEASE_ENDED = (
        7006,
        "WARNING",
        "lease of {runs} runs on VM {vm} expired without contact, {silent_ms} ms after its last answer",
    )
    RUNS_ORDERED = (7007, "INFO", "{count} runs ordered to start")
    RUN_ENDED = (7008, "INFO", "run {run} on VM {vm} ended: {outcome}")
    ORDER_REFUSED = (7009, "WARNING", "{order} of run {run} refused by VM {vm}: {reason}")
    ORDER_UNANSWERED = (7010, "WARNING", "{order} of run {run} to VM {vm} got no answer: {reason}")
    DECISIONS_STOPPED = (7011, "WARNING", "leader of term {term} stopped making decisions: {reason}")
    TASK_ENDED = (7012, "INFO", "task {task} ended: {reason}")
    WORKFLOW_ACCEPTED = (7013, "INFO", "workflow {workflow} accepted in queue {queue} for team {team}")
    WORKFLOW_REFUSED = (7014, "INFO", "workflow {workflow} refused with {status}: {reason}")
    WORKFLOW_CANCELLED = (7015, "INFO", "workflow {workflow} cancelled")
    FLEET_DOCUMENT_STORED = (
        7016,
        "INFO",
        "fleet document version {version} received, version {stored} is active",
    )
    FLEET_DOCUMENT_REFUSED = (7017, "WARNING", "fleet document refused: {reason}")
    EVACUATION_CHANGED = (7018, "INFO", "zone {zone} evacuated: {evacuated}")
    RELAY_FAILED = (
        7019,
        "WARNING",
        "{method} {path} got no answer from a leader within {waited_ms} ms: {reason}",
    )
    LEADER_FOUND = (7020, "INFO", "leader is {leader}")
    LEADER_MISSING = (7021, "WARNING", "no leader is known: {reason}")
    MEMBER_JOINS = (7022, "INFO", "member {member} asks to join")
    MEMBER_CHANGED = (7023, "INFO", "{change}: {result}")
    DECISIONS_STARTED = (
        7024,
        "INFO",
        "leader of term {term} starts with {workflows} workflows and {vms} VMs",
    )
    MAINTENANCE_ORDERED = (7025, "INFO", "maintenance of machine {machine} in wave {wave} ordered: {result}")
    WAVE_STARTED = (
        7026,
        "INFO",
        "wave {wave} started: {machines} machines, at most {max_down} down at once, deadline {deadline_ms}",
    )
    VM_CLOSED = (7028, "INFO", "VM {vm} cordoned: {reason}")
    POOL_LOAD = (
        7029,
        "INFO",
        "pool {pool}: {vms} VMs, {capacity} cores; in use: {steady} long-running, {short} short; {waiting} waiting",
    )
    MACHINE_MOVED = (
        7030,
        "INFO",
        "move of machine {machine} from pool {source} to pool {target} ordered: {result}",
    )
    RUN_STALLED = (7031, "WARNING", "run {run} on VM {vm} stalled at {percent}%")
    STOP_ORDERED = (7032, "INFO", "stop of run {run} ordered on VM {vm}: {reason}")
    WORKFLOWS_FORGOTTEN = (
        7033,
        "INFO",
        "{count} ended workflows deleted after their retention period, {left} left",
    )
    PACE_ORDERED = (7034, "INFO", "pace of run {run} on VM {vm} ordered to {percent}%")
    ADVICE_TAKEN = (7035, "INFO", "advisor allows step {step} on {good} of {vms} VMs")
    ADVICE_FAILED = (7036, "WARNING", "advice request for step {step} and {vms} VMs failed: {reason}")
    INTERFERENCE_FOUND = (
        7055,
        "INFO",
        "best-effort image {best_effort} raises the tail latency of image {serving} to {factor} times",
    )
    MACHINE_USE = (
        7060,
        "INFO",
        "{machines} machines in pools; in this term: {machine_seconds} machine-seconds, {moves} moves, {core_seconds} core-seconds of work",
    )
    MACHINES_SCARCE = (7061, "INFO", "pools lack {missing} machines, moves are planned for {planned}")
    BURST_EXPECTED = (
        7062,
        "INFO",
        "burst of pool {pool} expected in {in_ms} ms after that of pool {follows}: {millicores} millicores",
    )
    LEADER_LOAD = (
        7065,
        "INFO",
        "event loop late by {lag_mean_ms} ms in the mean, {lag_max_ms} ms at most; {starts} starts in {rounds} rounds, committed in {commit_ms} ms; {unanswered} starts unanswered",
    )
    RUNS_LOST = (7063, "WARNING", "{count} runs lost with VM {vm}: {reason}")
    RUNS_AT_WORK = (
        7070,
        "INFO",
        "{count} runs that VM {vm} probably had when its boot ended or it was last heard of",
    )
    RUNS_IN_DOUBT = (
        7066,
        "WARNING",
        "VM {vm} restarted under its ID; {count} runs may be started by the next boot",
    )
    PROCESS_RESUMED = (7067, "WARNING", "process was paused or blocked for {paused_ms} ms")
    ORDER_EXPIRED = (7068, "WARNING", "{method} {path} is not carried out: {reason}")
    OTHER_BOOT_ANSWERED = (
        7090,
        "WARNING",
        "clock of VM {vm} went back to {clock_ms} ms ({least_ms} ms or more expected): next boot answered {order} of {run}",
    )
    VM_WITHHELD = (
        7091,
        "INFO",
        "VM {vm} may forget ends for {withheld_ms} ms by a poll for the boot before; other VMs get the tasks",
    )
    BOOT_FENCED = (
        7092,
        "INFO",
        "VM {vm} is fenced from calls for earlier boots by {token}; wait {lease_ms} ms, {shortened_ms} and {withheld_ms} less",
    )
    RUN_UNLISTED = (
        7069,
        "INFO",
        "run {run} on VM {vm} ended: {outcome}, not listed for {unlisted_ms} ms, stop sent {stop_age_ms} ms ago",
    )
    TASKS_SUSPECTED = (7064, "WARNING", "several VMs have ended under {count} tasks; given up: {given_up}")
    COMMAND_FAILED = (7037, "ERROR", "log entry {index} of kind {kind} cannot be applied: {error}")
    STATE_UNSUPPORTED = (
        7085,
        "ERROR",
        "member halted, log entry {index} or the snapshot needs a later release: {error}",
    )
    MEMBER_UNSUPPORTED = (
        7086,
        "ERROR",
        "member {member} reports version {supported} of the state, version {required} is in force: it is neither added nor promoted",
    )
    STATE_VERSION_RAISED = (7087, "INFO", "log entry {index} raised the state to version {version}")
    VM_RATED = (7045, "INFO", "VM {vm} rated {rating}: {reason}")
    COPIES_ORDERED = (7050, "INFO", "{count} copies of runs ordered: {reason}")
    SHARES_APPLIED = (
        7040,
        "INFO",
        "pool {pool}: tasks of {teams} teams wait; beyond their share and served last: {beyond}",
    )
    WORKFLOW_REFUSED_FOR_LOAD = (
        7041,
        "INFO",
        "workflow {workflow} of {team} refused in {queue}: end in {end_ms} ms, limit {limit_ms} ms, retry in {retry_after_s} s",
    )
    ADMISSION_MEASURED = (
        7042,
        "INFO",
        "{count} estimated workflows ended, median {median_ms} ms later than estimated; {overdue} overdue",
    )
    STARTS_SKIPPED = (7080, "INFO", "{count} committed starts skipped as their command was applied")
    SPREAD_EXCEEDED = (
        7081,
        "WARNING",
        "VM {vm} lists {count} tasks of step {step}, whose spread limit is {limit}",
    )
    INPUT_REFUSED = (7027, "WARNING", "{method} {path} refused: {reason}")

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Loguru level name."""
        return self.value[1]

    @property
    def template(self) -> str:
        """Message with named fields."""
        return self.value[2]


__all__ = ["Event"]
