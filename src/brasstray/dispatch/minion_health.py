"""Judge a minion by how its starts end."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.job.job_id import JobId


@dataclass
class MinionHealth:
    """Count failures in a row; after some the minion is ejected for a while.

    Guards against a minion that fails all it starts: it is fast, so its slots are
    always free, and it would draw most of the work to itself.
    """

    failures: int = 0
    last_failed_job: JobId | None = None
    ejections: int = 0
    ejected_until: timedelta = timedelta(0)

    @property
    def on_probation(self) -> bool:
        """Tell whether the minion was ejected and has done nothing since."""
        return self.ejections > 0

    def record_success(self) -> None:
        """Take note of a start that gave a result."""
        self.failures = 0
        self.ejections = 0
        self.last_failed_job = None

    def record_failure(self, job: JobId) -> None:
        """Take note of a start of `job` that gave none.

        Guards against a job that fails wherever it is sent: it counts once for each
        minion, so that it ejects none alone.
        """
        if job != self.last_failed_job:
            self.failures += 1
            self.last_failed_job = job

    def assume_failures(self, failures: int) -> None:
        """Take a peer's ejection for as much evidence as `failures` of one's own."""
        self.failures = max(self.failures, failures)

    def eject(
        self, now: timedelta, min_duration: timedelta, max_duration: timedelta
    ) -> None:
        """Keep work away for a time that doubles with each ejection."""
        self.ejected_until = now + min(max_duration, min_duration * 2**self.ejections)
        self.ejections += 1
        self.failures = 0


__all__ = ["MinionHealth"]
