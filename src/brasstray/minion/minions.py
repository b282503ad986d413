"""Define the interface to minions."""

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
        patience: timedelta,
    ) -> JsonValue:
        """Return the result of `task`, started once on `minion`.

        Raise TaskNotRunError if it is known not to have run, TaskMayHaveRunError
        otherwise; `patience` bounds the wait for its reply.
        """


__all__ = ["Minions"]
