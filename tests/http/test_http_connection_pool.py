"""Check the results of calls over keep-alive connections when the server misbehaves."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from brasstray.http.errors import ConnectionLostError, NotConnectedError
from brasstray.http.http_connection_pool import HttpConnectionPool

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"
CLOSING = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
SHORT, LONG = timedelta(milliseconds=100), timedelta(seconds=30)


class ScriptedServer(asyncio.Protocol):
    """Send the next answer for each request; None resets, b"" sends nothing."""

    connections = 0
    answers: list

    def connection_made(self, transport):
        type(self).connections += 1
        self.transport = transport

    def data_received(self, data):
        if not data.endswith(b"{}"):
            return
        answer = self.answers.pop(0)
        if answer is None:
            self.transport.abort()
        else:
            self.transport.write(answer)


def make_calls(answers, timeout, count):
    """Return the results of `count` calls and how many connections they opened."""

    class CountingServer(ScriptedServer):
        connections = 0

    CountingServer.answers = list(answers)

    async def main():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(CountingServer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connections = HttpConnectionPool("127.0.0.1", port)
        results = []
        for _ in range(count):
            try:
                reply = await connections.call("POST", "/x", b"{}", timeout)
                results.append((reply.status, reply.content))
            except (ConnectionLostError, TimeoutError) as error:
                results.append(type(error))
        await connections.aclose()
        server.close()
        return results

    return asyncio.run(main()), CountingServer.connections


@pytest.mark.parametrize(
    ("answers", "timeout", "results", "connections"),
    [
        ([OK, OK], LONG, [(200, b"{}")] * 2, 1),
        ([CHUNKED, OK], LONG, [(200, b"{}")] * 2, 1),
        ([CLOSING, OK], LONG, [(200, b"{}")] * 2, 2),
        ([None, OK], LONG, [ConnectionLostError, (200, b"{}")], 2),
        ([b"nonsense\r\n\r\n", OK], LONG, [ConnectionLostError, (200, b"{}")], 2),
        # A connection that timed out is never reused: its late response belongs to the
        # abandoned call and would be taken for the response to the next one.
        ([b"", OK], SHORT, [TimeoutError, (200, b"{}")], 2),
        ([OK[:30], OK], SHORT, [TimeoutError, (200, b"{}")], 2),
    ],
    ids=["kept", "chunked", "closing", "reset", "unreadable", "silent", "part"],
)
def test_calls(answers, timeout, results, connections):
    assert make_calls(answers, timeout, len(results)) == (results, connections)


def test_closed_port_raises_not_connected_error():
    async def main():
        listener = await asyncio.get_running_loop().create_server(
            ScriptedServer, "127.0.0.1", 0
        )
        port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        await HttpConnectionPool("127.0.0.1", port).call("GET", "/", b"", LONG)

    with pytest.raises(NotConnectedError):
        asyncio.run(main())
