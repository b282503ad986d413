"""Call the platform's minions over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.http.errors import HttpCallError
from brasstray.http.http_connection_pool import HttpConnectionPool
from brasstray.platform.body import UnreadableBodyError
from brasstray.platform.minion_bodies import (
    HoldBody,
    HoldReply,
    Reply,
    StartBody,
    StopBody,
    read_born,
)
from brasstray.platform.task_name_format import format_task_name
from brasstray.pool.errors import (
    FencedError,
    MinionGoneError,
    MinionNoResponseError,
    MinionRestartedError,
    StartRefusal,
    StartRefusedError,
)
from brasstray.pool.incarnation import Incarnation, classify_reply

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.ids import FencingToken, RunNumber
    from brasstray.batch.task_name import TaskName
    from brasstray.http.client_response import ClientResponse
    from brasstray.job.ids import MinionKey
    from brasstray.platform.body import Body
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.probe_reply import ProbeReply

# Enough for the waiting probe and a burst of starts; further idle connections
# are closed.
IDLE_CONNECTIONS = 6
_REFUSAL_BY_REASON = {
    "old": StartRefusal.STALE_RUN,
    "late": StartRefusal.LEASE_PASSED,
    "room": StartRefusal.NO_ROOM,
}


class MinionClient:
    """Call minions over a pool of connections to each."""

    def __init__(self) -> None:
        self._connections: dict[MinionKey, HttpConnectionPool] = {}

    async def probe(
        self,
        minion: MinionEntry,
        token: FencingToken,
        acknowledged: int,
        until_ms: int | None,
        wait: timedelta,
        timeout: timedelta,
    ) -> ProbeReply:
        """Report the runs of a minion, waiting up to `wait` for one to end.

        Extends the lease of all its runs to `until_ms`, unless that is None.
        """
        body = HoldBody(
            fencing_token=token,
            last_seen=acknowledged,
            until_ms=until_ms,
            wait_ms=round(wait.total_seconds() * 1_000) or None,
        )
        response = await self._call(minion, "/-/hold", body, timeout)
        if response.status != 200:
            raise MinionNoResponseError(f"status {response.status}")
        try:
            return HoldReply.decode(response.content).to_probe_reply()
        except (UnreadableBodyError, ValueError, KeyError, IndexError) as error:
            raise MinionNoResponseError(f"invalid response body: {error!r}") from error

    async def start(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        spec: str,
        until_ms: int,
        timeout: timedelta,
    ) -> int:
        """Start a run and return the minion's clock in milliseconds."""
        body = StartBody(
            task=format_task_name(task),
            run=run,
            spec=spec,
            until_ms=until_ms,
            fencing_token=token,
        )
        response = await self._call(minion, "/-/run-start", body, timeout)
        if response.status == 200:
            reply = _reply(response)
            _check_incarnation(minion, reply)
            return reply.clock_ms
        if response.status in (429, 503):
            raise StartRefusedError(StartRefusal.UNHEALTHY)
        if response.status == 409:
            reason = _reply(response).reason
            raise StartRefusedError(
                _REFUSAL_BY_REASON.get(reason, StartRefusal.NO_ROOM)
            )
        if response.status == 400:
            raise StartRefusedError(StartRefusal.MALFORMED)
        raise MinionNoResponseError(f"status {response.status}")

    async def stop(
        self,
        minion: MinionEntry,
        token: FencingToken,
        task: TaskName,
        run: RunNumber,
        timeout: timedelta,
    ) -> None:
        """Stop a run, or make the minion reject it if its start arrives later."""
        body = StopBody(task=format_task_name(task), run=run, fencing_token=token)
        response = await self._call(minion, "/-/run-stop", body, timeout)
        if response.status != 200:
            raise MinionNoResponseError(f"status {response.status}")
        if minion.born is not None:
            _check_incarnation(minion, _reply(response))

    async def close_connections(self, minion: MinionEntry) -> None:
        """Close the connections to a minion that is no longer listed."""
        connections = self._connections.pop(minion.key, None)
        if connections is not None:
            await connections.aclose()

    async def _call(
        self, minion: MinionEntry, target: str, body: Body, timeout: timedelta
    ) -> ClientResponse:
        connections = self._connections.get(minion.key)
        if connections is None:
            connections = HttpConnectionPool(minion.host, minion.port, IDLE_CONNECTIONS)
            self._connections[minion.key] = connections
        headers = [(b"X-Target-Instance", str(minion.id).encode())]
        try:
            response = await connections.call(
                "POST", target, body.encode(), timeout, headers
            )
        except (TimeoutError, HttpCallError) as error:
            raise MinionNoResponseError(repr(error)) from error
        if response.status == 421:
            raise MinionGoneError(str(minion.id))
        if response.status == 409 and _reply(response).reason == "fence":
            raise FencedError(str(minion.id))
        return response


def _check_incarnation(minion: MinionEntry, reply: Reply) -> None:
    try:
        born = read_born(reply.born)
    except ValueError as error:
        raise MinionNoResponseError(f"invalid response body: {error}") from error
    if classify_reply(minion.born, born, replaced=False) is Incarnation.LATER:
        assert born is not None
        raise MinionRestartedError(born)


def _reply(response: ClientResponse) -> Reply:
    try:
        return Reply.decode(response.content)
    except UnreadableBodyError as error:
        raise MinionNoResponseError(f"invalid response body: {error}") from error


__all__ = ["MinionClient"]
