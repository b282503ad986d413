"""Describe the bodies of the calls to minions."""

from __future__ import annotations

import msgspec

from brasstray.batch.ids import RunNumber
from brasstray.platform.body import Body
from brasstray.platform.task_text import task_name
from brasstray.pool.probe_reply import ActiveRun, EndedRun, ProbeReply, RunEnd

_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.EXPIRED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.BROKEN,
}


class StartBody(Body, frozen=True, kw_only=True):
    """Ask for a start; `until_ms` is on the minion's clock, for all that runs there."""

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int


class StopBody(Body, frozen=True, kw_only=True):
    """Ask for a stop."""

    task: str
    run: int
    fencing_token: int


class HoldBody(Body, frozen=True, kw_only=True):
    """Ask what runs; `last_seen` acknowledges the ends up to that number."""

    fencing_token: int
    last_seen: int
    until_ms: int | None = None
    wait_ms: int | None = None


class Reply(Body, frozen=True, kw_only=True):
    """Hold what a start or a refusal says; `clock_ms` is the minion's clock."""

    clock_ms: int = 0
    reason: str = ""


class HoldReply(Body, frozen=True, kw_only=True):
    """Hold rows of task, run, checkpoint, percent and more, and of ends."""

    clock_ms: int
    running: list[list[str | int | float]] = msgspec.field(default_factory=list)
    finished: list[list[str | int | float]] = msgspec.field(default_factory=list)

    def probe_reply(self) -> ProbeReply:
        """Return what the rows say; raise ValueError if they cannot be read."""
        active = tuple(
            ActiveRun(task_name(str(row[0])), RunNumber(int(row[1])), int(row[3]))
            for row in self.running
        )
        ended = tuple(
            EndedRun(
                int(row[0]),
                task_name(str(row[1])),
                RunNumber(int(row[2])),
                _ENDS[str(row[3])],
            )
            for row in self.finished
        )
        return ProbeReply(self.clock_ms, active, ended)


__all__ = ["HoldBody", "HoldReply", "Reply", "StartBody", "StopBody"]
