"""Stand in for the platform's balancer: pick any entry host, blindly."""

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
    """Pass a request to a random entry host, and repeat it elsewhere on a failure.

    It repeats any request whose host it could not reach or that was cut off, as
    balancers do: callers' keys must make that harmless.
    """

    def __init__(self, backends: list[tuple[str, int]], random: Random) -> None:
        self._backends = backends
        self._random = random
        self._retries = 0

    def add(self, backends: list[tuple[str, int]]) -> None:
        """Send requests to `backends` too."""
        self._backends.extend(backends)

    @property
    def retries(self) -> int:
        """Return how many requests were sent again."""
        return self._retries

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        body = await read_body(receive, MAX_BODY_BYTES) or b""
        response = json_response(502, {"detail": "no entry host was reached"})
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
