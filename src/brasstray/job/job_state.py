"""Define the states of a job on its executor."""

from __future__ import annotations

from enum import Enum

from brasstray.job.errors import TransitionError


class JobState(Enum):
    """Describe the progress of a job."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    COMMITTING = "committing"
    ANSWERED = "answered"

    def to(self, after: JobState) -> JobState:
        """Return `after`, or raise TransitionError if this state cannot precede it."""
        if after not in _FOLLOWERS[self]:
            raise TransitionError(f"a job cannot go from {self.name} to {after.name}")
        return after


_FOLLOWERS = {
    JobState.ACCEPTED: (JobState.RUNNING,),
    JobState.RUNNING: (JobState.COMMITTING,),
    JobState.COMMITTING: (JobState.ANSWERED,),
    JobState.ANSWERED: (),
}

__all__ = ["JobState"]
