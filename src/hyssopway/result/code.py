"""Numbered result codes; `docs/errors.md` documents them."""

from __future__ import annotations

from enum import IntEnum


class ResultCode(IntEnum):
    """Result code of an operation; the numbers are stable across releases.

    1xx malformed input, 2xx authentication and authorisation, 3xx conflicts between operators,
    4xx request path, 5xx consensus and storage, 6xx documents and settings, 7xx jobs, 8xx fleet, 9xx internal.
    """

    OK = 0
    MALFORMED_REQUEST = 101
    BODY_TOO_LARGE = 102
    HEADER_TOO_LARGE = 103
    REQUEST_TOO_SLOW = 104
    UNKNOWN_RESOURCE = 105
    METHOD_NOT_ALLOWED = 106
    KEY_MISSING = 201
    KEY_INVALID = 202
    KEY_UNCONFIRMED = 203
    NOT_OPERATOR = 204
    NOT_PERMITTED = 205
    PEER_REJECTED = 206
    GENERATION_CONFLICT = 301
    REQUEST_ID_REUSED = 302
    NOT_TRIALED = 303
    UNKNOWN_SERVICE = 401
    NO_ENDPOINT = 402
    QUEUE_FULL = 403
    DEADLINE_EXCEEDED = 404
    ENDPOINT_FAILED = 405
    ANSWER_INCOMPLETE = 406
    CLAIM_PENDING = 407
    CLAIM_UNKNOWN = 408
    IDEMPOTENCY_KEY_MISSING = 409
    SHUTTING_DOWN = 410
    ANSWER_MISMATCHED = 411
    ENDPOINT_REFUSED = 412
    TOO_MANY_CONNECTIONS = 413
    NOT_LEADER = 501
    NO_QUORUM = 502
    OUTCOME_UNKNOWN = 503
    STORAGE_FAILED = 504
    LOG_DAMAGED = 505
    MEMBERSHIP_BUSY = 506
    NOT_CAUGHT_UP = 507
    PEER_UNREACHABLE = 508
    MEMBER_EXISTS = 510
    UNKNOWN_MEMBER = 511
    LAST_VOTER = 512
    DOCUMENT_INVALID = 601
    SETTINGS_INVALID = 602
    UNKNOWN_DOCUMENT = 603
    UNKNOWN_JOB = 701
    JOB_CANNOT_RUN = 702
    TEAM_LIMIT = 703
    JOB_ENDED = 704
    STALE_EPOCH = 705
    UNKNOWN_TEAM = 706
    REPLICA_BEHIND = 709
    SYNC_OVERTAKEN = 710
    TOO_MANY_JOBS = 711
    UNKNOWN_VM = 801
    UNKNOWN_ZONE = 802
    ZONE_WITHDRAWN = 803
    BUDGET_EXHAUSTED = 804
    VM_NOT_EMPTY = 805
    VM_STATE_CONFLICT = 806
    UNKNOWN_POOL = 807
    UNKNOWN_WAVE = 808
    PLATFORM_REFUSED = 809
    PLATFORM_UNREACHABLE = 810
    PLATFORM_UNCERTAIN = 811
    BUDGET_BROKEN = 812
    WAVE_CONFLICT = 813
    INTERNAL = 901


__all__ = ["ResultCode"]
