"""Simulate the platform's load balancer, which chooses entry hosts at random."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore

from brasstray.http.exchange import HttpResponse, json_response, read_body

if TYPE_CHECKING:
    from random import Random

    from brasstray.http.exchange import Receive, Scope, Send

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 3
_HOP_BY_HOP_HEADERS = (b"connection", b"transfer-encoding", b"content-length")


class BalancerApp:
    """Forward each request to a random entry host, and retry it after a failure.

    Like real load balancers, it retries a request whenever the connection fails, even
    if the host may have processed it. The callers' idempotency keys make this safe.
    """

    def __init__(self, backends: list[tuple[str, int]], random: Random) -> None:
        self._backends = backends
        self._random = random
        self._retries = 0

    def add(self, backends: list[tuple[str, int]]) -> None:
        """Add `backends` to the hosts that receive requests."""
        self._backends.extend(backends)

    @property
    def retries(self) -> int:
        """Return the number of retried requests."""
        return self._retries

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        body = await read_body(receive, MAX_BODY_BYTES) or b""
        response = json_response(502, {"detail": "no entry host could be reached"})
        for attempt in range(MAX_ATTEMPTS):
            self._retries += attempt > 0
            address, port = self._random.choice(self._backends)
            try:
                response = await _forward(scope, body, address, port)
                break
            except (httpcore.NetworkError, httpcore.ProtocolError):
                continue
        await response.send(send)


async def _forward(scope: Scope, body: bytes, address: str, port: int) -> HttpResponse:
    target = scope["raw_path"]
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    url = httpcore.URL(scheme=b"http", host=address.encode(), port=port, target=target)
    headers = [(k, v) for k, v in scope["headers"] if k not in _HOP_BY_HOP_HEADERS]
    headers.append((b"content-length", str(len(body)).encode()))
    origin = httpcore.Origin(b"http", address.encode(), port)
    connection = httpcore.AsyncHTTPConnection(origin, retries=0)
    try:
        reply = await connection.request(
            scope["method"], url, headers=headers, content=body
        )
        return HttpResponse(reply.status, reply.content)
    finally:
        await connection.aclose()


__all__ = ["BalancerApp"]
