"""Simulate a minion with slots, run times and faults."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from pydantic import JsonValue

    from brasstray.clock.clock import Clock


class MinionMode(Enum):
    """Select how a stand-in minion responds to starts."""

    WORKING = "working"
    LEAVING = "leaving"
    FAILING = "failing"
    SILENT = "silent"
    DEAD = "dead"


class MinionReply(Enum):
    """Classify the outcome of a start."""

    DONE = "done"
    FULL = "full"
    LEAVING = "leaving"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class MinionResult:
    """Hold the reply to a start and, if the task is done, its result."""

    reply: MinionReply
    result: JsonValue = None


class StandInMinion:
    """Run tasks by sleeping, and count the starts of each task id."""

    def __init__(self, name: str, clock: Clock, slots: int = 8) -> None:
        self._name = name
        self._clock = clock
        self._slots = slots
        self._running = 0
        self._starts: Counter[str] = Counter()
        self._killed = anyio.Event()
        self.mode = MinionMode.WORKING
        self.slowdown = 1.0

    @property
    def name(self) -> str:
        """Return the minion's name."""
        return self._name

    @property
    def starts(self) -> Counter[str]:
        """Return the number of starts of each task."""
        return self._starts

    def kill(self) -> None:
        """End all running tasks without a reply, and refuse connections."""
        self.mode = MinionMode.DEAD
        self._killed.set()

    async def run(self, task: str, payload: JsonValue) -> MinionResult:
        """Run `task` for the `run_ms` of its payload, in milliseconds."""
        match self.mode:
            case MinionMode.DEAD:
                return MinionResult(MinionReply.UNREACHABLE)
            case MinionMode.LEAVING:
                return MinionResult(MinionReply.LEAVING)
        if self._running >= self._slots:
            return MinionResult(MinionReply.FULL)
        self._starts[task] += 1
        if self.mode is MinionMode.FAILING:
            return MinionResult(MinionReply.FAILED)
        if self.mode is MinionMode.SILENT:
            await anyio.sleep_forever()
        self._running += 1
        try:
            return await self._work(task, payload)
        finally:
            self._running -= 1

    async def _work(self, task: str, payload: JsonValue) -> MinionResult:
        run_ms = payload.get("run_ms", 0) if isinstance(payload, dict) else 0
        duration = timedelta(milliseconds=run_ms) * self.slowdown  # type: ignore[arg-type]
        with anyio.move_on_after(duration.total_seconds()):
            await self._killed.wait()
            return MinionResult(MinionReply.LOST)
        return MinionResult(MinionReply.DONE, {"task": task, "by": self._name})


__all__ = ["MinionMode", "MinionReply", "MinionResult", "StandInMinion"]
