"""Track the failures of a minion and eject it after too many."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.job_id import JobId


@dataclass
class MinionHealth:
    """Count consecutive failures of a minion and hold its ejection state.

    A minion that fails every task fails fast, so its slots are always free and it
    would attract most of the work. Ejecting it for a while prevents that.
    """

    failures: int = 0
    last_failed_job: JobId | None = None
    ejections: int = 0
    ejected_until: timedelta = timedelta(0)

    @property
    def on_probation(self) -> bool:
        """Return whether the minion has had no success since its last ejection."""
        return self.ejections > 0

    def record_success(self) -> None:
        """Record a start that returned a result, and end probation."""
        self.failures = 0
        self.ejections = 0
        self.last_failed_job = None

    def record_failure(self, job: JobId) -> None:
        """Record a start of `job` that returned no result.

        Consecutive failures of one job count once, so that a job that fails on every
        minion cannot eject any of them by itself.
        """
        if job != self.last_failed_job:
            self.failures += 1
            self.last_failed_job = job

    def assume_failures(self, failures: int) -> None:
        """Raise the failure count to at least `failures`, on evidence from a peer."""
        self.failures = max(self.failures, failures)

    def eject(
        self, now: timedelta, min_duration: timedelta, max_duration: timedelta
    ) -> None:
        """Eject the minion, for twice as long with each consecutive ejection."""
        self.ejected_until = now + min(max_duration, min_duration * 2**self.ejections)
        self.ejections += 1
        self.failures = 0


__all__ = ["MinionHealth"]
