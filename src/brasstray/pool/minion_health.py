"""Suspect a minion on what its runs show, and try it again later."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId

# One job alone may be one that fails everywhere.
FAILED_JOBS_TO_SUSPEND = 2
FIRST_SUSPENSION = timedelta(seconds=1)
# Upper bound of the backoff, so that a minion that has recovered is soon used again.
MAX_SUSPENSION = timedelta(seconds=4)


class Evidence(Enum):
    """Tell what speaks against a minion."""

    FAILURES = "failures"
    STRAGGLING = "straggling"
    UNHEALTHY = "unhealthy"
    SILENCE = "silence"


class MinionHealth:
    """Hold how far a minion is trusted.

    A suspended minion gets nothing; after that it gets one task at a time until one
    ends well, and is suspended for twice as long if it does not.
    """

    def __init__(self) -> None:
        self._failed_jobs: set[BatchId] = set()
        self._suspended_for_failures = False
        self._suspension = timedelta()
        self._suspended_until: timedelta | None = None

    @property
    def suspected(self) -> bool:
        """Return whether nothing has ended well since the minion was suspected."""
        return self._suspended_until is not None

    def max_runs(self, now: timedelta) -> int | None:
        """Return how many runs it may have at `now`; None means no bound."""
        if self._suspended_until is None:
            return None
        return 0 if now < self._suspended_until else 1

    def record_success(self) -> bool:
        """Note a run that ended well; return whether the minion was suspected."""
        was_suspected = self.suspected
        self._failed_jobs.clear()
        self._suspended_until = None
        self._suspension = timedelta()
        return was_suspected

    def record_failure(self, batch: BatchId, now: timedelta) -> bool:
        """Note a run that failed; return whether the minion is suspected for it."""
        self._failed_jobs.add(batch)
        if len(self._failed_jobs) < FAILED_JOBS_TO_SUSPEND and not self.suspected:
            return False
        self._suspend(now)
        self._suspended_for_failures = True
        return True

    def discard_failures(self, batch: BatchId) -> bool:
        """Drop what `batch` spoke against the minion; return whether it is trusted now.

        Guards against jobs that can never be done: two of them in a row on each minion
        had a whole pool suspended, and sound jobs waited for seconds. Whether a job or
        the minion is at fault shows only once the job has failed everywhere.
        """
        self._failed_jobs.discard(batch)
        still_suspect = len(self._failed_jobs) >= FAILED_JOBS_TO_SUSPEND
        if not self.suspected or not self._suspended_for_failures or still_suspect:
            return False
        self._suspended_until = None
        self._suspension = timedelta()
        return True

    def suspend(self, now: timedelta) -> None:
        """Suspend the minion from `now` for another reason than failures."""
        self._suspend(now)
        self._suspended_for_failures = False
        self._failed_jobs.clear()

    def _suspend(self, now: timedelta) -> None:
        suspension = max(FIRST_SUSPENSION, self._suspension * 2)
        self._suspension = min(suspension, MAX_SUSPENSION)
        self._suspended_until = now + self._suspension


__all__ = ["Evidence", "MinionHealth"]
