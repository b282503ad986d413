"""Define the request and response bodies of the minions' HTTP interface."""

from __future__ import annotations

from typing import Any

import msgspec

from brasstray.batch.ids import RunNumber
from brasstray.platform.body import MAX_WHOLE, Body, ClockMs
from brasstray.platform.task_name_format import parse_task_name
from brasstray.pool.incarnation import parse_born
from brasstray.pool.probe_reply import ActiveRun, EndedRun, ProbeReply, RunEnd

_RUN_END_BY_TEXT = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.EXPIRED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.BROKEN,
}

MAX_PERCENT = 100


class StartBody(Body, frozen=True, kw_only=True):
    """Request the start of a run.

    `until_ms`, on the minion's clock, is when the lease of all its runs expires.
    """

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class StopBody(Body, frozen=True, kw_only=True):
    """Request that a run be stopped."""

    task: str
    run: int
    fencing_token: int


class HoldBody(Body, frozen=True, kw_only=True):
    """Request a report of the runs, and extend their lease to `until_ms` if given.

    `last_seen` acknowledges the ended runs up to that number. The minion replies after
    `wait_ms` at the latest, or once a run ends.
    """

    fencing_token: int
    last_seen: int
    until_ms: int | None = None
    wait_ms: int | None = None


class Reply(Body, frozen=True, kw_only=True):
    """Hold the reply to a start, or a refusal; `clock_ms` is the minion's clock.

    `born` is the minion's start as written by it, of any type.
    """

    clock_ms: ClockMs = 0
    reason: str = ""
    born: Any = msgspec.field(default=msgspec.UNSET, name="born")


class HoldReply(Body, frozen=True, kw_only=True):
    """Report the active and the ended runs of a minion.

    Rows of `running` begin with task, run, checkpoint and percent; those of `finished`
    with number, task, run and the kind of end. Further columns are ignored. `born` is
    the minion's start as written by it, of any type.
    """

    clock_ms: ClockMs
    running: list[list[str | int | float]] = msgspec.field(default_factory=list)
    finished: list[list[str | int | float]] = msgspec.field(default_factory=list)
    born: Any = msgspec.field(default=msgspec.UNSET, name="born")

    def to_probe_reply(self) -> ProbeReply:
        """Convert the rows.

        Raises ValueError, KeyError or IndexError if a row or `born` is malformed.
        """
        active = tuple(
            ActiveRun(
                parse_task_name(str(row[0])),
                RunNumber(_whole(row[1])),
                int(max(0.0, min(float(row[3]), MAX_PERCENT))),
            )
            for row in self.running
        )
        ended = tuple(
            EndedRun(
                _whole(row[0]),
                parse_task_name(str(row[1])),
                RunNumber(_whole(row[2])),
                _RUN_END_BY_TEXT[str(row[3])],
            )
            for row in self.finished
        )
        return ProbeReply(self.clock_ms, active, ended, read_born(self.born))


def _whole(column: str | float) -> int:
    """Return the whole number in a column; raise ValueError if it is out of range."""
    number = float(column)
    if not 0 <= number <= MAX_WHOLE:
        raise ValueError(f"invalid number {number}")
    return int(column)


def read_born(field: object) -> int | None:
    """Return the time of start in a decoded field, None if that is absent.

    Raises ValueError if it is of another type; null is one.
    """
    if field is msgspec.UNSET:
        return None
    if field is None:
        raise ValueError("the time of start is null")
    return parse_born(field)


__all__ = ["HoldBody", "HoldReply", "Reply", "StartBody", "StopBody", "read_born"]
