"""Start tasks on minions over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from brasstray.http.errors import HttpCallError, NotConnectedError
from brasstray.http.http_connection_pool import HttpConnectionPool
from brasstray.minion.errors import RetryReason, TaskMayHaveRunError, TaskNotRunError

if TYPE_CHECKING:
    from datetime import timedelta

    from pydantic import JsonValue

    from brasstray.http.client_response import ClientResponse
    from brasstray.job.request import TaskRequest
    from brasstray.minion.task_id import TaskId
    from brasstray.store.listed_host import ListedHost

NOT_RUN_HEADER = b"not-run"
_OK = 200
_NOT_RUN_STATUS = 503
_REFUSALS = {b"full": RetryReason.FULL, b"leaving": RetryReason.LEAVING}


class HttpMinions:
    """Start tasks over connections that are kept open; each carries one at a time."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], HttpConnectionPool] = {}

    async def start(
        self,
        minion: ListedHost,
        task_id: TaskId,
        task: TaskRequest,
        timeout: timedelta,
    ) -> JsonValue:
        """Start `task` once on `minion` and return its result."""
        endpoint = (minion.address, minion.port)
        connections = self._connections.get(endpoint)
        if connections is None:
            connections = self._connections[endpoint] = HttpConnectionPool(*endpoint)
        body = json.dumps({"task": task_id.text(), "payload": task.payload}).encode()
        try:
            response = await connections.call("POST", "/tasks", body, timeout)
            return _parse_result(response)
        except NotConnectedError as error:
            raise TaskNotRunError(RetryReason.CONNECTION_REFUSED) from error
        except HttpCallError as error:
            # If the connection was reset after bytes were written, the minion may have
            # started the task, so the request must not be resent here.
            raise TaskMayHaveRunError(RetryReason.CONNECTION_LOST) from error
        except TimeoutError as error:
            raise TaskMayHaveRunError(RetryReason.SILENT) from error

    async def aclose(self) -> None:
        """Close every idle connection."""
        for connections in self._connections.values():
            await connections.aclose()
        self._connections.clear()


def _parse_result(response: ClientResponse) -> JsonValue:
    if response.status == _OK:
        try:
            result: JsonValue = json.loads(response.content)["result"]
        except (ValueError, KeyError, TypeError) as error:
            raise TaskMayHaveRunError(RetryReason.TASK_FAILED) from error
        return result
    refusal = response.header(NOT_RUN_HEADER) or b""
    if response.status == _NOT_RUN_STATUS and refusal in _REFUSALS:
        raise TaskNotRunError(_REFUSALS[refusal])
    raise TaskMayHaveRunError(RetryReason.TASK_FAILED)


__all__ = ["HttpMinions"]
