"""Define the errors about jobs."""

from __future__ import annotations


class JobError(Exception):
    """Base of the errors about jobs."""


class TransitionError(JobError):
    """A state transition that is not allowed was requested."""


__all__ = ["JobError", "TransitionError"]
