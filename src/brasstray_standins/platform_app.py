"""Serve the stand-in platform over HTTP."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from urllib.parse import unquote

import cbor2

from brasstray.http.exchange import (
    HttpResponse,
    header,
    json_response,
    query,
    read_body,
)
from brasstray.job.request import digest_of
from brasstray.store.errors import StoreConflictError, StoreUnavailableError

if TYPE_CHECKING:
    from brasstray.http.exchange import Receive, Scope, Send
    from brasstray_standins.memory_platform import MemoryPlatform
    from brasstray_standins.minion import StandInMinion

MAX_BODY_BYTES = 2_000_000


class PlatformApp:
    """Serve the in-memory platform, and control it from tests.

    PUT /switches/down makes every call fail until DELETE /switches/down. /starts
    returns the number of starts of each task.
    """

    def __init__(
        self, platform: MemoryPlatform, minions: list[StandInMinion] | None = None
    ) -> None:
        self._platform = platform
        self._minions = minions or []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        try:
            response = await self._respond(scope, receive)
        except StoreConflictError as error:
            response = json_response(409, {"detail": str(error)})
        except StoreUnavailableError as error:
            response = json_response(503, {"detail": str(error)})
        await response.send(send)

    async def _respond(self, scope: Scope, receive: Receive) -> HttpResponse:
        body = await read_body(receive, MAX_BODY_BYTES) or b""
        method, path = scope["method"], unquote(scope["path"])
        if path == "/hosts":
            hosts = await self._platform.hosts()
            listed = [host.model_dump(mode="json") for host in hosts]
            etag = f'"{digest_of(repr(listed).encode())}"'
            if header(scope, "if-none-match") == etag:
                return HttpResponse(304)
            return json_response(200, listed, (("etag", etag),))
        if path == "/starts":
            return json_response(200, self._starts())
        if path == "/switches/down":
            self._platform.faults.down = method == "PUT"
            return json_response(200, {"down": self._platform.faults.down})
        if path == "/scan":
            entries = await self._platform.scan(
                query(scope, "prefix") or "", query(scope, "after") or ""
            )
            page = [[e.name, e.value, e.version] for e in entries]
            return HttpResponse(200, cbor2.dumps(page), "application/cbor")
        name = path.removeprefix("/kv/")
        match method:
            case "GET":
                entry = await self._platform.get(name)
                if entry is None:
                    return HttpResponse(404)
                return _versioned(entry.version, entry.value)
            case "PUT":
                expected = int(query(scope, "expected") or 0)
                return _versioned(
                    await self._platform.compare_and_swap(name, body, expected)
                )
            case "DELETE":
                await self._platform.delete(name)
                return HttpResponse(200)
        return HttpResponse(405)

    def _starts(self) -> dict[str, int]:
        starts: Counter[str] = Counter()
        for minion in self._minions:
            starts.update(minion.starts)
        return dict(starts)


def _versioned(version: int, value: bytes = b"") -> HttpResponse:
    headers = (("version", str(version)),)
    return HttpResponse(200, value, "application/octet-stream", headers)


__all__ = ["PlatformApp"]
