"""Suspend minions on evidence from their runs, and try them again later."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import BatchId

# A single job may be one that fails on every minion.
FAILED_JOBS_TO_SUSPEND = 2
# How long a run that was stuck counts, so that a minion on which some runs hang beside
# usual ones is found.
STUCK_MEMORY = timedelta(seconds=10)
STUCK_JOBS_TO_SUSPEND = 2
FIRST_SUSPENSION = timedelta(seconds=1)
# Upper bound of the backoff, so that a recovered minion is soon used again.
MAX_SUSPENSION = timedelta(seconds=4)


class Evidence(Enum):
    """List the kinds of evidence on which a minion is suspended."""

    FAILURES = "failures"
    STRAGGLING = "straggling"
    UNHEALTHY = "unhealthy"
    SILENCE = "silence"


class MinionHealth:
    """Track whether a minion is suspected of being faulty.

    A suspended minion gets no tasks. After the suspension it gets one task at a time
    until a run succeeds; if one does not, it is suspended for twice as long.
    `usual_run_ended` is when a run ended last that took about as long as expected;
    `found_slow`, whether a run was stopped since, as the minion was slow.
    """

    def __init__(self) -> None:
        self._failed_jobs: set[BatchId] = set()
        self._stuck_jobs: dict[BatchId, timedelta] = {}
        self._suspended_for_failures = False
        self._suspension = timedelta()
        self._suspended_until: timedelta | None = None
        self.usual_run_ended: timedelta | None = None
        self.found_slow = False

    @property
    def suspected(self) -> bool:
        """Return whether no run has succeeded since the minion was suspended."""
        return self._suspended_until is not None

    def max_runs(self, now: timedelta) -> int | None:
        """Return how many runs the minion may have at `now`; None means no limit."""
        if self._suspended_until is None:
            return None
        return 0 if now < self._suspended_until else 1

    def record_success(self) -> bool:
        """Record a run that succeeded; return whether the minion was suspected."""
        was_suspected = self.suspected
        self._failed_jobs.clear()
        self._suspended_until = None
        self._suspension = timedelta()
        return was_suspected

    def record_failure(self, batch: BatchId, now: timedelta) -> bool:
        """Record a run that failed; return whether the minion is suspended for it."""
        self._failed_jobs.add(batch)
        if len(self._failed_jobs) < FAILED_JOBS_TO_SUSPEND and not self.suspected:
            return False
        self._suspend(now)
        self._suspended_for_failures = True
        return True

    def record_stuck(self, batch: BatchId, now: timedelta) -> bool:
        """Record a run of `batch` that was stuck; return whether several jobs were."""
        self._stuck_jobs[batch] = now
        self._stuck_jobs = {
            job: at for job, at in self._stuck_jobs.items() if now - at < STUCK_MEMORY
        }
        return len(self._stuck_jobs) >= STUCK_JOBS_TO_SUSPEND

    def discard_failures(self, batch: BatchId) -> bool:
        """Discard the failures of `batch`; return whether that ends the suspicion.

        Guards against jobs that can never succeed: two of them in a row on each minion
        had a whole pool suspended, and valid jobs waited for seconds. Whether the job
        or the minion is at fault is known only once the job has failed everywhere.
        """
        self._failed_jobs.discard(batch)
        still_suspect = len(self._failed_jobs) >= FAILED_JOBS_TO_SUSPEND
        if not self.suspected or not self._suspended_for_failures or still_suspect:
            return False
        self._suspended_until = None
        self._suspension = timedelta()
        return True

    def suspend(self, now: timedelta) -> None:
        """Suspend the minion from `now` for a reason other than failures."""
        self._suspend(now)
        self._suspended_for_failures = False
        self._failed_jobs.clear()

    def _suspend(self, now: timedelta) -> None:
        suspension = max(FIRST_SUSPENSION, self._suspension * 2)
        self._suspension = min(suspension, MAX_SUSPENSION)
        self._suspended_until = now + self._suspension


__all__ = ["Evidence", "MinionHealth"]
