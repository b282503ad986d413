"""Describe a minion's report of its runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import RunNumber
    from brasstray.batch.task_name import TaskName


# Further ends are listed once these are acknowledged.
MAX_LISTED_ENDS = 500


class RunEnd(Enum):
    """List the ways in which a run ends on a minion.

    UNKNOWN: no report lists the run any more, and none has listed its end.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "expired"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """Hold an active run and its progress."""

    task: TaskName
    run: RunNumber
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold an ended run; `number` is its place in the minion's list, from 1."""

    number: int
    task: TaskName
    run: RunNumber
    end: RunEnd


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Hold a minion's clock, its active runs, and the ends not yet acknowledged.

    `born` is the Unix time in ms at which the minion started, None if it does not say.
    """

    clock_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]
    born: int | None = None

    @property
    def lists_all_ends(self) -> bool:
        """Return whether no further end waits for these to be acknowledged."""
        return len(self.ended) < MAX_LISTED_ENDS


__all__ = ["MAX_LISTED_ENDS", "ActiveRun", "EndedRun", "ProbeReply", "RunEnd"]
