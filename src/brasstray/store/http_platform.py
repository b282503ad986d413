"""Access the platform's key-value service and host list over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

import anyio
import cbor2
import httpcore
from pydantic import TypeAdapter, ValidationError

from brasstray.store.entry import StoreEntry
from brasstray.store.errors import StoreConflictError, StoreUnavailableError
from brasstray.store.listed_host import ListedHost

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import timedelta

VERSION_HEADER = b"version"
_HOSTS = TypeAdapter(list[ListedHost])


class HttpPlatform:
    """Call the platform; raise StoreUnavailableError on timeouts and server errors."""

    def __init__(self, address: str, port: int, timeout: timedelta) -> None:
        self._host = address.encode("ascii")
        self._port = port
        self._timeout = timeout
        self._hosts: list[ListedHost] = []
        self._tag: bytes | None = None
        self._pool = httpcore.AsyncConnectionPool(max_connections=8, retries=0)

    async def get(self, name: str) -> StoreEntry | None:
        """Return the entry called `name`, if there is one."""
        response = await self._call("GET", f"/kv/{name}")
        if response.status == 404:
            return None
        return StoreEntry(name, response.content, _version(response))

    async def swap(self, name: str, value: bytes, expected: int) -> int:
        """Write `value` if the version is `expected`; return the new version."""
        target = f"/kv/{name}?{urlencode({'expected': expected})}"
        response = await self._call("PUT", target, value)
        if response.status == 409:
            raise StoreConflictError(name)
        return _version(response)

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return a page of the entries under `prefix` after `after`, sorted by name."""
        target = f"/scan?{urlencode({'prefix': prefix, 'after': after})}"
        response = await self._call("GET", target)
        return [StoreEntry(*entry) for entry in cbor2.loads(response.content)]

    async def delete(self, name: str) -> None:
        """Remove the entry called `name`, if there is one."""
        await self._call("DELETE", f"/kv/{name}")

    async def hosts(self) -> list[ListedHost]:
        """Return the host list, from the cache if the platform reports no change."""
        known = [] if self._tag is None else [(b"if-none-match", self._tag)]
        response = await self._call("GET", "/hosts", headers=known)
        if response.status == 304:
            return self._hosts
        try:
            self._hosts = _HOSTS.validate_json(response.content)
        except ValidationError as error:
            raise StoreUnavailableError(f"unreadable host list: {error}") from error
        self._tag = _header(response, b"etag")
        return self._hosts

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def _call(
        self,
        method: str,
        target: str,
        content: bytes = b"",
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> httpcore.Response:
        url = httpcore.URL(
            scheme=b"http", host=self._host, port=self._port, target=target.encode()
        )
        sent = [(b"host", self._host), *headers]
        if method == "PUT":
            sent.append((b"content-length", str(len(content)).encode()))
        try:
            with anyio.fail_after(self._timeout.total_seconds()):
                response = await self._pool.request(
                    method, url, headers=sent, content=content or None
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError) as error:
            raise StoreUnavailableError(f"{method} {target}: {error!r}") from error
        if response.status >= 500:
            raise StoreUnavailableError(f"{method} {target}: {response.status}")
        return response


def _header(response: httpcore.Response, name: bytes) -> bytes | None:
    return next((v for k, v in response.headers if k.lower() == name), None)


def _version(response: httpcore.Response) -> int:
    version = _header(response, VERSION_HEADER)
    if version is None:
        raise StoreUnavailableError("response has no version header")
    return int(version)


__all__ = ["HttpPlatform"]
