"""Collect the lines that all hosts logged about one request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from brasstray.trace.cause import Cause, find_cause
from brasstray.trace.errors import UnknownJobError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from brasstray.trace.log_line import LogLine


@dataclass(frozen=True, slots=True)
class Trace:
    """Hold the lines of a request, sorted by time, and the cause of its outcome.

    `dropped` counts the lines that hosts reported as dropped; lines of this request
    may be among them.
    """

    job: str
    timeline: tuple[LogLine, ...]
    cause: Cause
    dropped: int


def trace_job(job: str, lines: Sequence[LogLine]) -> Trace:
    """Return the trace of `job` in `lines`, which are sorted by time.

    Raise UnknownJobError if no line names it.
    """
    timeline = tuple(line for line in lines if line.job == job)
    if not timeline:
        raise UnknownJobError(f"{job}: no line names this request")
    dropped = sum(int(x.number("count")) for x in lines if x.kind == "lines_dropped")
    return Trace(job, timeline, find_cause(timeline, lines), dropped)


__all__ = ["Trace", "trace_job"]
