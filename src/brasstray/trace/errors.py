"""Define the errors of reading and tracing logs."""

from __future__ import annotations


class TraceError(Exception):
    """Report that a trace failed; base of all errors of this package."""


class UnreadableLogError(TraceError):
    """A log file cannot be read."""


class UnknownJobError(TraceError):
    """No line names the requested job."""


__all__ = ["TraceError", "UnknownJobError", "UnreadableLogError"]
