"""Serve an ASGI application with uvicorn on a listener of one's own."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Generator

BACKLOG = 2_048


# uvicorn renews the date that responses carry once in this time.
_DATE_AGE_SECONDS = 1.0


class _QuietServer(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopped = asyncio.Event()

    # The daemon handles signals itself: uvicorn would stop before jobs are answered.
    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield

    # uvicorn looks ten times a second whether it should exit, which for three servers
    # was a quarter of an idle host's wake-ups.
    async def main_loop(self) -> None:
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_AGE_SECONDS):
                    await self._stopped.wait()

    def stop(self) -> None:
        self.should_exit = True
        self._stopped.set()


class HttpServer:
    """Run uvicorn until stopped."""

    def __init__(self, app: Any) -> None:
        config = uvicorn.Config(
            app,
            lifespan="off",
            log_config=None,
            access_log=False,
            loop="asyncio",
            http="httptools",
            ws="none",
            timeout_keep_alive=75,
            backlog=BACKLOG,
        )
        self._server = _QuietServer(config)

    async def run(self, listener: socket.socket) -> None:
        """Serve on `listener` until stopped; cut every connection if cancelled."""
        try:
            await self._server.serve(sockets=[listener])
        finally:
            for connection in list(self._server.server_state.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            for server in getattr(self._server, "servers", []):
                server.close()

    def stop(self) -> None:
        """End `run` once requests in progress are answered."""
        self._server.stop()


def listen(address: str, port: int) -> socket.socket:
    """Return a listener; port 0 takes any; raise OSError if it is not to be had."""
    # Guards against 40 ms added to each small reply: asyncio sends at once only on
    # sockets that name their protocol, and others wait for the peer's delayed
    # acknowledgement after the first part.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


__all__ = ["HttpServer", "listen"]
