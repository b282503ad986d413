"""Read requests and send responses over ASGI."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    Scope = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

MAX_DISCARDED_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class HttpResponse:
    """Hold the status, body and headers of a response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    async def send(self, send: Send) -> None:
        """Send the response."""
        headers = [("content-type", self.content_type), *self.headers]
        headers.append(("content-length", str(len(self.body))))
        encoded = [(name.encode(), value.encode()) for name, value in headers]
        await send(
            {"type": "http.response.start", "status": self.status, "headers": encoded}
        )
        await send({"type": "http.response.body", "body": self.body})


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Return a response with `value` as JSON."""
    return HttpResponse(status, json.dumps(value).encode() + b"\n", headers=headers)


async def read_body(receive: Receive, limit: int) -> bytes | None:
    """Return the body, or None if it has more than `limit` bytes.

    A body over the limit is read to its end and discarded, up to MAX_DISCARDED_BYTES,
    so that the caller can finish sending and read the refusal instead of a reset.
    """
    parts, size = [], 0
    while True:
        event = await receive()
        part = event.get("body", b"")
        size += len(part)
        if size <= limit:
            parts.append(part)
        if not event.get("more_body", False) or size > MAX_DISCARDED_BYTES:
            return b"".join(parts) if size <= limit else None


def header(scope: Scope, name: str) -> str | None:
    """Return the first header called `name`, which must be in lower case."""
    wanted = name.encode()
    for key, value in scope["headers"]:
        if key == wanted:
            text: str = value.decode("latin-1")
            return text
    return None


def query(scope: Scope, name: str) -> str | None:
    """Return the first query parameter called `name`."""
    values = parse_qs(scope["query_string"].decode("latin-1")).get(name)
    return values[0] if values else None


__all__ = ["HttpResponse", "header", "json_response", "query", "read_body"]
