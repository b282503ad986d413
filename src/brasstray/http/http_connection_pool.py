"""Keep idle HTTP connections to one address for reuse, one call at a time each."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from brasstray.http.client_connection import ClientConnection
from brasstray.http.errors import NotConnectedError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

    from brasstray.http.client_response import ClientResponse

CONNECT_TIMEOUT_SECONDS = 1.0
DEFAULT_MAX_IDLE = 16
# The kernel drops a connection whose bytes stay unacknowledged for this long; without
# it a connection across a network partition hangs for minutes.
USER_TIMEOUT_MS = 2_000


class HttpConnectionPool:
    """Call one address over HTTP/1.1.

    Each call in progress has a connection to itself, which shows whether any byte of
    its request was written. The usual connection pools hide that.
    """

    def __init__(self, host: str, port: int, max_idle: int = DEFAULT_MAX_IDLE) -> None:
        self._host = host
        self._port = port
        self._max_idle = max_idle
        self._idle: list[ClientConnection] = []

    async def call(
        self,
        method: str,
        target: str,
        content: bytes,
        timeout: timedelta,
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> ClientResponse:
        """Send a request and return the response.

        Raise TimeoutError or an HttpCallError if there is no complete response.
        """
        lines = [f"{method} {target} HTTP/1.1\r\nhost: {self._host}".encode()]
        lines += [name + b": " + value for name, value in headers]
        if content:
            lines.append(b"content-type: application/json")
        if content or method != "GET":
            lines.append(b"content-length: %d" % len(content))
        request = b"\r\n".join(lines) + b"\r\n\r\n" + content
        connection = self._take_idle()
        if connection is None:
            connection = await self._connect(timeout)
        response = await connection.call(request, timeout)
        if connection.usable and len(self._idle) < self._max_idle:
            self._idle.append(connection)
        else:
            connection.close()
        return response

    async def aclose(self) -> None:
        """Close every idle connection."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _take_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            # Skip connections that the peer closed while idle: a request written to one
            # would be lost, and its task would count as possibly run.
            if connection.usable:
                return connection
        return None

    async def _connect(self, timeout: timedelta) -> ClientConnection:
        loop = asyncio.get_running_loop()
        seconds = min(timeout.total_seconds(), CONNECT_TIMEOUT_SECONDS)
        try:
            async with asyncio.timeout(seconds):
                transport, connection = await loop.create_connection(
                    ClientConnection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise NotConnectedError(repr(error)) from error
        sock: socket.socket = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        return connection


__all__ = ["HttpConnectionPool"]
