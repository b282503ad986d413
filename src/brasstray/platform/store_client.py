"""Call the platform's key-value store over HTTP."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlencode

from brasstray.http.errors import HttpCallError
from brasstray.http.http_connection_pool import HttpConnectionPool
from brasstray.platform.body import UnreadableBodyError
from brasstray.platform.store_bodies import (
    Item,
    RangeReply,
    Transaction,
    TransactionReply,
    WatchReply,
    encode_compare_and_swap,
)
from brasstray.store.errors import (
    HistoryLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from brasstray.store.watchable_store import Snapshot

if TYPE_CHECKING:
    from brasstray.http.client_response import ClientResponse
    from brasstray.platform.body import Body
    from brasstray.store.entry import StoreEntry
    from brasstray.store.watchable_store import Changes

    _B = TypeVar("_B", bound=Body)

# The store usually answers in 4 ms; when slow, it takes 50 times as long or longer. A
# store that has stopped responding never answers, so each call needs a timeout.
CALL_TIMEOUT = timedelta(milliseconds=800)
# Added to the wait of a watch for the call itself.
WATCH_MARGIN = timedelta(milliseconds=400)
IDLE_CONNECTIONS = 3
_MILLISECOND = timedelta(milliseconds=1)


class StoreClient:
    """Read, write and watch keys; raise StoreUnavailableError without a response."""

    def __init__(self, address: str, port: int) -> None:
        self._connections = HttpConnectionPool(address, port, IDLE_CONNECTIONS)

    def set_address(self, address: str, port: int) -> None:
        """Send all further calls to another address."""
        self._connections = HttpConnectionPool(address, port, IDLE_CONNECTIONS)

    async def get(self, name: str) -> StoreEntry | None:
        """Return the entry called `name`, if there is one."""
        target = f"/-/kv-key?{urlencode({'Key': name})}"
        response = await self._call("GET", target)
        if response.status == 404:
            return None
        return _decode(Item, response).to_entry()

    async def compare_and_swap(self, name: str, value: bytes, expected: int) -> int:
        """Write `value` if the revision is `expected`, and return the new revision.

        Raises StoreConflictError if the revision is another.
        """
        content = encode_compare_and_swap(name, value, expected)
        response = await self._call("POST", "/-/kv-txn", content)
        if response.status == 412:
            raise StoreConflictError(name)
        return _decode(TransactionReply, response).revision

    async def scan(self, prefix: str, after: str = "") -> list[StoreEntry]:
        """Return a sorted page of entries under `prefix`, with names after `after`."""
        page = await self._page(prefix, after)
        return [item.to_entry() for item in page.items]

    async def delete(self, name: str) -> None:
        """Remove the entry called `name`, if there is one."""
        await self._call("POST", "/-/kv-txn", Transaction(deletes=[name]).encode())

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all entries under `prefix`."""
        entries: list[StoreEntry] = []
        as_of, after = None, ""
        while True:
            page = await self._page(prefix, after)
            # Keep the revision of the first page: a watch from there also reports the
            # changes made between two pages.
            as_of = page.as_of if as_of is None else as_of
            entries.extend(item.to_entry() for item in page.items)
            if not page.has_more or not page.items:
                return Snapshot(tuple(entries), as_of)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait: timedelta) -> Changes:
        """Return the changes under `prefix` since revision `after`.

        Returns none once `wait` has passed, and raises HistoryLostError if the store no
        longer holds the changes since `after`.
        """
        query = {"Prefix": prefix, "After": after, "WaitMs": wait // _MILLISECOND}
        target = f"/-/kv-watch?{urlencode(query)}"
        response = await self._call("GET", target, timeout=wait + WATCH_MARGIN)
        if response.status == 410:
            raise HistoryLostError(prefix)
        return _decode(WatchReply, response).to_changes()

    async def aclose(self) -> None:
        """Close every connection."""
        await self._connections.aclose()

    async def _page(self, prefix: str, after: str) -> RangeReply:
        query = {"Prefix": prefix} | ({"After": after} if after else {})
        response = await self._call("GET", f"/-/kv-range?{urlencode(query)}")
        return _decode(RangeReply, response)

    async def _call(
        self,
        method: str,
        target: str,
        content: bytes = b"",
        timeout: timedelta = CALL_TIMEOUT,
    ) -> ClientResponse:
        operation = f"{method} {target.partition('?')[0]}"
        try:
            response = await self._connections.call(method, target, content, timeout)
        except TimeoutError as error:
            raise StoreUnavailableError(
                f"{operation}: no response before the timeout"
            ) from error
        except HttpCallError as error:
            raise StoreUnavailableError(f"{operation}: {error!r}") from error
        if response.status not in (200, 404, 410, 412):
            raise StoreUnavailableError(f"{operation}: status {response.status}")
        return response


def _decode(body_type: type[_B], response: ClientResponse) -> _B:
    if response.status != 200:
        raise StoreUnavailableError(f"status {response.status}")
    try:
        return body_type.decode(response.content)
    except UnreadableBodyError as error:
        raise StoreUnavailableError(f"invalid response body: {error}") from error


__all__ = ["StoreClient"]
