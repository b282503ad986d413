"""Name what can go wrong when logs are read."""

from __future__ import annotations


class TraceError(Exception):
    """The logs do not tell what was asked."""


class UnreadableLogError(TraceError):
    """A log file cannot be read."""


class UnknownJobError(TraceError):
    """No line names the job."""


__all__ = ["TraceError", "UnknownJobError", "UnreadableLogError"]
