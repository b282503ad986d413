"""Define the outcomes of a job and the reasons for giving it up."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta


class BatchOutcome(Enum):
    """Describe how a job ended.

    NOT_RUN means that none of its tasks was sent to a minion. UNKNOWN means that some
    tasks may have run, or may still be running.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class GiveUpReason(Enum):
    """Describe why a job was refused or given up, for metrics and logs."""

    NO_CONFIGURATION = "no_configuration"
    NO_POOL = "no_pool"
    TOO_LATE = "too_late"
    OVERLOADED = "overloaded"
    POOL_LOST = "pool_lost"
    TASK_FAILED = "task_failed"
    IMPOSSIBLE = "impossible"
    ERROR = "error"
    CALLER_GONE = "caller_gone"
    CANCELLED = "cancelled"
    UNSUPPORTED = "unsupported"
    UNREADABLE = "unreadable"
    TOO_LARGE = "too_large"
    NO_QUEUE = "no_queue"
    STOPPING = "stopping"
    EVACUATED = "evacuated"


@dataclass(frozen=True)
class BatchResult:
    """Hold an outcome, its reason, and when the caller may retry if it has not run."""

    outcome: BatchOutcome
    reason: GiveUpReason | None = None
    retry_after: timedelta | None = None


__all__ = ["BatchOutcome", "BatchResult", "GiveUpReason"]
