"""Join what all hosts logged of one request."""

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
    """Hold a request's lines by time, what decided it, and what was dropped.

    `dropped` counts lines that hosts say they could not write: some of this request's
    may be among them.
    """

    job: str
    timeline: tuple[LogLine, ...]
    cause: Cause
    dropped: int


def trace_job(job: str, lines: Sequence[LogLine]) -> Trace:
    """Return the trace of `job` in `lines`, which are by time.

    Raise UnknownJobError if no line names it.
    """
    timeline = tuple(line for line in lines if line.job == job)
    if not timeline:
        raise UnknownJobError(f"{job}: no line names this request")
    dropped = sum(int(x.number("count")) for x in lines if x.kind == "lines_dropped")
    return Trace(job, timeline, find_cause(timeline, lines), dropped)


__all__ = ["Trace", "trace_job"]
