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
_HOST_LIST = TypeAdapter(list[ListedHost])


class HttpPlatform:
    """Call the platform; raise StoreUnavailableError on timeouts and server errors."""

    def __init__(self, address: str, port: int, timeout: timedelta) -> None:
        self._host = address.encode("ascii")
        self._port = port
        self._timeout = timeout
        self._hosts: list[ListedHost] = []
        self._etag: bytes | None = None
        self._pool = httpcore.AsyncConnectionPool(max_connections=8, retries=0)

    async def get(self, name: str) -> StoreEntry | None:
        """Return the entry called `name`, if there is one."""
        response = await self._request("GET", f"/kv/{name}")
        if response.status == 404:
            return None
        return StoreEntry(name, response.content, _parse_version(response))

    async def compare_and_swap(self, name: str, value: bytes, expected: int) -> int:
        """Write `value` if the version is `expected`; return the new version."""
        target = f"/kv/{name}?{urlencode({'expected': expected})}"
        response = await self._request("PUT", target, value)
        if response.status == 409:
            raise StoreConflictError(name)
        return _parse_version(response)

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return a page of the entries under `prefix` after `after`, sorted by name."""
        target = f"/scan?{urlencode({'prefix': prefix, 'after': after})}"
        response = await self._request("GET", target)
        return [StoreEntry(*entry) for entry in cbor2.loads(response.content)]

    async def delete(self, name: str) -> None:
        """Remove the entry called `name`, if there is one."""
        await self._request("DELETE", f"/kv/{name}")

    async def hosts(self) -> list[ListedHost]:
        """Return the host list, from the cache if the platform reports no change."""
        condition = [] if self._etag is None else [(b"if-none-match", self._etag)]
        response = await self._request("GET", "/hosts", headers=condition)
        if response.status == 304:
            return self._hosts
        try:
            self._hosts = _HOST_LIST.validate_json(response.content)
        except ValidationError as error:
            raise StoreUnavailableError(f"unreadable host list: {error}") from error
        self._etag = _find_header(response, b"etag")
        return self._hosts

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def _request(
        self,
        method: str,
        target: str,
        content: bytes = b"",
        headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> httpcore.Response:
        url = httpcore.URL(
            scheme=b"http", host=self._host, port=self._port, target=target.encode()
        )
        request_headers = [(b"host", self._host), *headers]
        if method == "PUT":
            request_headers.append((b"content-length", str(len(content)).encode()))
        try:
            with anyio.fail_after(self._timeout.total_seconds()):
                response = await self._pool.request(
                    method, url, headers=request_headers, content=content or None
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError) as error:
            raise StoreUnavailableError(f"{method} {target}: {error!r}") from error
        if response.status >= 500:
            raise StoreUnavailableError(f"{method} {target}: {response.status}")
        return response


def _find_header(response: httpcore.Response, name: bytes) -> bytes | None:
    return next((v for k, v in response.headers if k.lower() == name), None)


def _parse_version(response: httpcore.Response) -> int:
    version = _find_header(response, VERSION_HEADER)
    if version is None:
        raise StoreUnavailableError("response has no version header")
    return int(version)


__all__ = ["HttpPlatform"]
