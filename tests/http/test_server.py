"""Check the listening sockets of the HTTP servers."""

from __future__ import annotations

import socket

from brasstray.http.server import listen


def test_listener_has_explicit_protocol():
    """Guard against 40 ms of extra latency on every reply.

    A reply is written in two parts. Unless TCP_NODELAY is set, the second waits for the
    peer's delayed acknowledgement of the first. asyncio sets it only on sockets created
    with an explicit protocol; accepted sockets inherit the protocol from the listener.
    """
    with listen("127.0.0.1", 0) as listener:
        assert listener.proto == socket.IPPROTO_TCP
