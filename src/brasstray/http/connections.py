"""Keep idle HTTP connections to one address, each used by one call at a time."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio
import httpcore

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

CONNECT_PATIENCE_SECONDS = 1.0
IDLE_CONNECTIONS = 16
# The kernel gives up on unacknowledged bytes after this long; without it a connection
# into a partition hangs for minutes.
USER_TIMEOUT_MS = 2_000
_NO_DELAY = (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
_USER_TIMEOUT = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

Headers = list[tuple[bytes, bytes]]


class Connections:
    """Call one address over HTTP/1.1.

    httpcore's pool is not used: its bookkeeping costs more than a request, and a
    connection of its own shows whether any byte of a request was written.
    """

    def __init__(self, host: str, port: int, most_idle: int = IDLE_CONNECTIONS) -> None:
        self._host = host.encode("ascii")
        self._port = port
        self._most_idle = most_idle
        self._idle: list[httpcore.AsyncHTTPConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        content: bytes,
        patience: timedelta,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> httpcore.Response:
        """Return the response; raise TimeoutError or an httpcore error without one."""
        connection = self._take()
        kept = False
        sent: Headers = [(b"host", self._host), *headers]
        if content:
            sent.append((b"content-type", b"application/json"))
        if content or method != "GET":
            sent.append((b"content-length", str(len(content)).encode()))
        try:
            with anyio.fail_after(patience.total_seconds()):
                response = await connection.request(
                    method,
                    httpcore.URL(
                        scheme=b"http",
                        host=self._host,
                        port=self._port,
                        target=target.encode(),
                    ),
                    headers=sent,
                    content=content or None,
                    extensions={"timeout": {"connect": CONNECT_PATIENCE_SECONDS}},
                )
            kept = connection.is_idle()
            return response
        finally:
            await self._put(connection, kept)

    async def aclose(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.aclose()

    def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            connection = self._idle.pop()
            # Guards against a connection that the other side has closed while idle: a
            # request written to it would be lost and count as may have run.
            if connection.is_idle() and not connection.has_expired():
                return connection
        origin = httpcore.Origin(b"http", self._host, self._port)
        return httpcore.AsyncHTTPConnection(
            origin, retries=0, socket_options=[_NO_DELAY, _USER_TIMEOUT]
        )

    async def _put(self, connection: httpcore.AsyncHTTPConnection, kept: bool) -> None:
        if kept and len(self._idle) < self._most_idle:
            self._idle.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()


__all__ = ["Connections", "Headers"]
