"""Define the reasons for which a job was refused, failed or is not yet known."""

from __future__ import annotations

from enum import Enum


class Reason(Enum):
    """Describe why a job is not complete, as codes that programs can match."""

    ANSWER_LOST = "answer_lost"
    BAD_REQUEST = "bad_request"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    DRAINING = "draining"
    EXECUTOR_FENCED = "executor_fenced"
    EXECUTOR_UNREACHABLE = "executor_unreachable"
    HOME_UNREACHABLE = "home_unreachable"
    IDENTITY_MISSING = "identity_missing"
    JOURNAL_IN_DOUBT = "journal_in_doubt"
    JOURNAL_UNAVAILABLE = "journal_unavailable"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    KEY_REQUIRED = "key_required"
    KEY_TOO_LONG_LIVED = "key_too_long_lived"
    OVERLOADED = "overloaded"
    LIMIT = "limit"
    RUNNING = "running"
    SERVICE_CLOSED = "service_closed"
    STARTING = "starting"
    TASK_DOUBTFUL = "task_doubtful"
    TOO_LARGE = "too_large"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_SERVICE = "unknown_service"


__all__ = ["Reason"]
