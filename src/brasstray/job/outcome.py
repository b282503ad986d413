"""Define the outcomes of a job as callers see them."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Describe the outcome of a job, or that it is not known yet."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused, not run"
    NOT_YET_KNOWN = "not yet known"

    @property
    def final(self) -> bool:
        """Tell whether every later answer to the job must have this outcome."""
        return self in (Outcome.COMPLETE, Outcome.FAILED)


__all__ = ["Outcome"]
