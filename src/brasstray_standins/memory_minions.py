"""Call stand-in minions in memory, without sockets."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

import anyio

from brasstray.minion.errors import RetryReason, TaskMayHaveRunError, TaskNotRunError
from brasstray_standins.minion import MinionReply

if TYPE_CHECKING:
    from pydantic import JsonValue

    from brasstray.clock.clock import Clock
    from brasstray.job.request import TaskRequest
    from brasstray.minion.task_id import TaskId
    from brasstray.store.listed_host import ListedHost
    from brasstray_standins.minion import StandInMinion

_NOT_RUN = {
    MinionReply.FULL: RetryReason.FULL,
    MinionReply.LEAVING: RetryReason.LEAVING,
    MinionReply.UNREACHABLE: RetryReason.CONNECTION_REFUSED,
}
_MAY_HAVE_RUN = {
    MinionReply.FAILED: RetryReason.TASK_FAILED,
    MinionReply.LOST: RetryReason.CONNECTION_LOST,
}


class MemoryMinions:
    """Start tasks on stand-in minions after a simulated network delay."""

    def __init__(
        self,
        minions: dict[str, StandInMinion],
        clock: Clock,
        delay: timedelta = timedelta(milliseconds=0.2),
    ) -> None:
        self._minions = minions
        self._clock = clock
        self._delay = delay
        self._sends = 0

    @property
    def sends(self) -> int:
        """Return the number of starts that were sent."""
        return self._sends

    async def start(
        self,
        minion: ListedHost,
        task_id: TaskId,
        task: TaskRequest,
        timeout: timedelta,
    ) -> JsonValue:
        """Return the result of `task`, started once on `minion`."""
        self._sends += 1
        await self._clock.sleep(self._delay)
        with anyio.move_on_after(timeout.total_seconds()):
            target = self._minions[minion.name]
            outcome = await target.run(task_id.text(), task.payload)
            await self._clock.sleep(self._delay)
            if outcome.reply in _NOT_RUN:
                raise TaskNotRunError(_NOT_RUN[outcome.reply])
            if outcome.reply in _MAY_HAVE_RUN:
                raise TaskMayHaveRunError(_MAY_HAVE_RUN[outcome.reply])
            return outcome.result
        raise TaskMayHaveRunError(RetryReason.SILENT)


__all__ = ["MemoryMinions"]
