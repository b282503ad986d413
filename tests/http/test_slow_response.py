"""Check how long a call waits for a slow response."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from brasstray.http.client_connection import ClientConnection

TIMEOUT = timedelta(milliseconds=800)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n"
BODY = b"r" * 1000


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advance to the next timer at once whenever the loop is idle."""

    def __init__(self):
        super().__init__()
        self._now = 0.0
        select = self._selector.select

        def advance(timeout=None):
            self._now += timeout or 0
            return select(0)

        self._selector.select = advance

    def time(self):
        return self._now


class FakeTransport:
    """Ignore writes and aborts."""

    def write(self, data):
        pass

    def abort(self):
        pass


def time_call(parts, gap):
    """Return how long a call took, and its body or None; a part arrives every `gap`."""

    async def main():
        loop = asyncio.get_running_loop()
        connection = ClientConnection()
        connection._transport = FakeTransport()
        for number, part in enumerate(parts, start=1):
            loop.call_later(gap * number, connection.data_received, part)
        started_at = loop.time()
        try:
            reply = await connection.call(b"GET", TIMEOUT)
        except TimeoutError:
            return loop.time() - started_at, None
        return loop.time() - started_at, reply.content

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main())


@pytest.mark.parametrize(
    ("parts", "gap", "seconds", "body"),
    [
        ([HEAD + BODY], 0.1, 0.1, BODY),
        ([HEAD, *(BODY[:100] for _ in range(10))], 0.1, 1.1, BODY),
        ([HEAD, BODY[:500]], 0.5, 1.8, None),
        ([], 0.5, 0.8, None),
        ([HEAD, *(b"r" for _ in range(100))], 0.5, 8.0, None),
    ],
    ids=["at once", "slow", "broken off", "silent", "drips"],
)
def test_timeout_restarts_with_each_part(parts, gap, seconds, body):
    # Guards against a timeout that covers the whole response. Once the configuration
    # had grown to 218 KB, which took 0.9 s, hosts on slow links could not read it from
    # the store: each call was cut off after 0.8 s and repeated. The reads saturated the
    # links, and almost no caller was served. Here, the parts of a response follow one
    # another within the timeout.
    elapsed, content = time_call(parts, gap)
    assert elapsed == pytest.approx(seconds)
    assert content == body
