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

    def transition_to(self, next_state: JobState) -> JobState:
        """Return `next_state`, or raise TransitionError if it is not allowed next."""
        if next_state not in _TRANSITIONS[self]:
            raise TransitionError(
                f"a job cannot go from {self.name} to {next_state.name}"
            )
        return next_state


_TRANSITIONS = {
    JobState.ACCEPTED: (JobState.RUNNING,),
    JobState.RUNNING: (JobState.COMMITTING,),
    JobState.COMMITTING: (JobState.ANSWERED,),
    JobState.ANSWERED: (),
}

__all__ = ["JobState"]
