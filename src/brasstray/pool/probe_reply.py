"""Describe what a minion reports of its runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from brasstray.batch.ids import RunNumber
    from brasstray.batch.task_name import TaskName


class RunEnd(Enum):
    """Tell how a run ended on a minion."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "expired"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """Hold a run that is under way, and how far it is."""

    task: TaskName
    run: RunNumber
    percent: int


@dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold an end under its number in the minion's list, which starts at 1."""

    number: int
    task: TaskName
    run: RunNumber
    end: RunEnd


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Hold a minion's clock, its active runs, and the ends not yet acknowledged."""

    clock_ms: int
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


__all__ = ["ActiveRun", "EndedRun", "ProbeReply", "RunEnd"]
