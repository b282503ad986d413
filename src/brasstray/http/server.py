"""Serve an ASGI application with uvicorn on a given listening socket."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Generator

BACKLOG = 2_048


# Each tick of the main loop makes uvicorn refresh the Date header of responses.
_DATE_REFRESH_SECONDS = 1.0


class _UvicornServer(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stop_requested = asyncio.Event()

    # The daemon handles signals itself: uvicorn would stop before jobs are answered.
    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield

    # Waits for an event instead of polling for exit ten times a second as uvicorn does:
    # with three servers, that polling caused a quarter of an idle host's wake-ups.
    async def main_loop(self) -> None:
        while not await self.on_tick(0):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_DATE_REFRESH_SECONDS):
                    await self._stop_requested.wait()

    def stop(self) -> None:
        self.should_exit = True
        self._stop_requested.set()


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
        self._server = _UvicornServer(config)

    async def run(self, listener: socket.socket) -> None:
        """Serve on `listener` until stopped; abort all connections if cancelled."""
        try:
            await self._server.serve(sockets=[listener])
        finally:
            for connection in list(self._server.server_state.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            for server in getattr(self._server, "servers", []):
                server.close()

    def stop(self) -> None:
        """End `run` once the requests in progress are answered."""
        self._server.stop()


def listen(address: str, port: int) -> socket.socket:
    """Return a listening socket; port 0 takes any free port.

    Raise OSError if the address cannot be bound.
    """
    # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol.
    # Without it, the second part of a reply waits for the peer's delayed
    # acknowledgement of the first, which added 40 ms to each small reply.
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
