"""Start tasks on minions over HTTP."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import anyio
import httpcore

from brasstray.minion.errors import RetryReason, TaskMayHaveRunError, TaskNotRunError

if TYPE_CHECKING:
    from datetime import timedelta

    from pydantic import JsonValue

    from brasstray.job.request import TaskRequest
    from brasstray.minion.task_id import TaskId
    from brasstray.store.listed_host import ListedHost

CONNECT_PATIENCE_SECONDS = 1.0
NOT_RUN_HEADER = b"not-run"
IDLE_CONNECTIONS = 16
_OK = 200
_NOT_RUN_STATUS = 503
_REFUSALS = {b"full": RetryReason.FULL, b"leaving": RetryReason.LEAVING}


class HttpMinions:
    """Hold idle connections per minion; each carries one task at a time.

    httpcore's pool is not used: its bookkeeping costs more than a request, and a
    connection of its own shows whether any byte of a request was written.
    """

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[httpcore.AsyncHTTPConnection]] = {}

    async def start(
        self,
        minion: ListedHost,
        task_id: TaskId,
        task: TaskRequest,
        patience: timedelta,
    ) -> JsonValue:
        """Return the result of `task`, started once on `minion`."""
        place = (minion.address, minion.port)
        connection = self._take(place)
        kept = False
        try:
            with anyio.fail_after(patience.total_seconds()):
                response = await _exchange(connection, place, task_id, task)
            kept = connection.is_idle()
            return _result_of(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TaskNotRunError(RetryReason.CONNECTION_REFUSED) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            # Guards against a reset after bytes were written: the minion may have
            # started the task, so it is not sent again behind the caller's back.
            raise TaskMayHaveRunError(RetryReason.CONNECTION_LOST) from error
        except (TimeoutError, httpcore.TimeoutException) as error:
            raise TaskMayHaveRunError(RetryReason.SILENT) from error
        finally:
            await self._put(place, connection, kept)

    def _take(self, place: tuple[str, int]) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.setdefault(place, [])
        while idle:
            connection = idle.pop()
            # Guards against a connection that the minion has closed while idle: a
            # task written to it would be lost and count as may have run.
            if connection.is_idle() and not connection.has_expired():
                return connection
        origin = httpcore.Origin(b"http", minion_host(place), place[1])
        return httpcore.AsyncHTTPConnection(origin, retries=0)

    async def _put(
        self,
        place: tuple[str, int],
        connection: httpcore.AsyncHTTPConnection,
        kept: bool,
    ) -> None:
        idle = self._idle.setdefault(place, [])
        if kept and len(idle) < IDLE_CONNECTIONS:
            idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                await connection.aclose()
        self._idle.clear()


def minion_host(place: tuple[str, int]) -> bytes:
    """Return the host part of `place` as httpcore wants it."""
    return place[0].encode("ascii")


async def _exchange(
    connection: httpcore.AsyncHTTPConnection,
    place: tuple[str, int],
    task_id: TaskId,
    task: TaskRequest,
) -> httpcore.Response:
    body = json.dumps({"task": task_id.text(), "payload": task.payload}).encode()
    return await connection.request(
        "POST",
        httpcore.URL(
            scheme=b"http", host=minion_host(place), port=place[1], target=b"/tasks"
        ),
        headers=[
            (b"host", minion_host(place)),
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ],
        content=body,
        extensions={"timeout": {"connect": CONNECT_PATIENCE_SECONDS}},
    )


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
