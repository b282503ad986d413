"""Check that a connection between two hosts fails alone."""

from __future__ import annotations

from contextlib import suppress

import anyio
import pytest
from websockets.exceptions import ConnectionClosed, ProtocolError

from brasstray.http.server import listen
from brasstray.peer import websocket_stream
from brasstray.peer.message_stream import StreamClosedError
from brasstray.peer.websocket_stream import WebSocketOpener, serve_streams


# Guards against an exception that ends the process when a link is closed whose
# transport is closed already, as the other host has refused a frame.
@pytest.mark.parametrize("delay", [0, 0.01, 0.3])
@pytest.mark.parametrize("size", [100, 9_000_000, 17_000_000, 60_000_000])
def test_a_stream_that_the_other_host_has_closed_can_be_closed(size, delay):
    async def refuse(stream):
        with suppress(StreamClosedError):
            await stream.receive()

    async def scenario():
        listener = listen("127.0.0.1", 0)
        async with anyio.create_task_group() as group:
            group.start_soon(serve_streams, listener, refuse)
            stream = await WebSocketOpener().open(*listener.getsockname())
            with suppress(ConnectionClosed):
                await stream._connection.send(b"x" * size)
            with suppress(StreamClosedError):
                await stream.receive()
            await anyio.sleep(delay)
            await stream.aclose()
            await stream.aclose()
            group.cancel_scope.cancel()

    anyio.run(scenario)


# Guards against an error of one attempt to connect that ends the process.
@pytest.mark.parametrize(
    "error",
    [
        OSError("no route"),
        TimeoutError(),
        ProtocolError("reserved bits must be 0"),
        AttributeError("'NoneType' object has no attribute 'call_soon'"),
        RuntimeError("transport is closed"),
    ],
    ids=lambda error: type(error).__name__,
)
def test_an_attempt_to_connect_fails_alone(monkeypatch, error):
    async def connect(*args, **kwargs):
        raise error

    async def scenario():
        with pytest.raises(StreamClosedError):
            await WebSocketOpener().open("127.0.0.1", 1)

    monkeypatch.setattr(websocket_stream, "connect", connect)
    anyio.run(scenario)
