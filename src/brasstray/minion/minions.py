"""Define the interface for starting tasks on minions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from pydantic import JsonValue

    from brasstray.job.request import TaskRequest
    from brasstray.minion.task_id import TaskId
    from brasstray.store.listed_host import ListedHost


class Minions(Protocol):
    """Start tasks on minions."""

    async def start(
        self,
        minion: ListedHost,
        task_id: TaskId,
        task: TaskRequest,
        timeout: timedelta,
    ) -> JsonValue:
        """Start `task` once on `minion` and return its result.

        If the start fails or `timeout` passes without a reply, raise TaskNotRunError
        if the task is known not to have run, and TaskMayHaveRunError otherwise.
        """


__all__ = ["Minions"]
