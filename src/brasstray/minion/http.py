"""Start tasks on minions over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import httpcore

from brasstray.http.connections import Connections
from brasstray.minion.errors import RetryReason, TaskMayHaveRunError, TaskNotRunError

if TYPE_CHECKING:
    from datetime import timedelta

    from pydantic import JsonValue

    from brasstray.job.request import TaskRequest
    from brasstray.minion.task_id import TaskId
    from brasstray.store.listed_host import ListedHost

NOT_RUN_HEADER = b"not-run"
_OK = 200
_NOT_RUN_STATUS = 503
_REFUSALS = {b"full": RetryReason.FULL, b"leaving": RetryReason.LEAVING}


class HttpMinions:
    """Hold idle connections per minion; each carries one task at a time."""

    def __init__(self) -> None:
        self._places: dict[tuple[str, int], Connections] = {}

    async def start(
        self,
        minion: ListedHost,
        task_id: TaskId,
        task: TaskRequest,
        patience: timedelta,
    ) -> JsonValue:
        """Return the result of `task`, started once on `minion`."""
        place = (minion.address, minion.port)
        connections = self._places.get(place)
        if connections is None:
            connections = self._places[place] = Connections(*place)
        body = json.dumps({"task": task_id.text(), "payload": task.payload}).encode()
        try:
            response = await connections.call("POST", "/tasks", body, patience)
            return _result_of(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TaskNotRunError(RetryReason.CONNECTION_REFUSED) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            # Guards against a reset after bytes were written: the minion may have
            # started the task, so it is not sent again behind the caller's back.
            raise TaskMayHaveRunError(RetryReason.CONNECTION_LOST) from error
        except (TimeoutError, httpcore.TimeoutException) as error:
            raise TaskMayHaveRunError(RetryReason.SILENT) from error

    async def aclose(self) -> None:
        """Close every idle connection."""
        for connections in self._places.values():
            await connections.aclose()
        self._places.clear()


def _result_of(response: httpcore.Response) -> JsonValue:
    if response.status == _OK:
        try:
            result: JsonValue = json.loads(response.content)["result"]
        except (ValueError, KeyError, TypeError) as error:
            raise TaskMayHaveRunError(RetryReason.TASK_FAILED) from error
        return result
    refusal = next((v for k, v in response.headers if k.lower() == NOT_RUN_HEADER), b"")
    if response.status == _NOT_RUN_STATUS and refusal in _REFUSALS:
        raise TaskNotRunError(_REFUSALS[refusal])
    raise TaskMayHaveRunError(RetryReason.TASK_FAILED)


__all__ = ["HttpMinions"]
