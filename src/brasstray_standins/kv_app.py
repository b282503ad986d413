"""Serve the in-memory store over the key-value API of the users' platform."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from brasstray.http.exchange import HttpResponse, json_response, read_body
from brasstray.store.errors import HistoryLostError, StoreConflictError

if TYPE_CHECKING:
    from brasstray.http.exchange import Receive, Scope, Send
    from brasstray.store.entry import StoreEntry
    from brasstray_standins.memory_store import MemoryStore

MAX_BODY_BYTES = 1 << 20
PAGE_ITEMS = 3


class KvApp:
    """Serve reads, range scans, watches and single-key transactions.

    Pages hold only `PAGE_ITEMS` items, so that clients have to read several.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        response = await self._respond(scope, receive)
        await response.send(send)

    async def _respond(self, scope: Scope, receive: Receive) -> HttpResponse:
        parameters = parse_qs(scope["query_string"].decode())
        query = {name: values[0] for name, values in parameters.items()}
        body = await read_body(receive, MAX_BODY_BYTES) or b""
        match scope["method"], scope["path"]:
            case "GET", "/-/kv-key":
                return self._key(query["Key"])
            case "GET", "/-/kv-range":
                return self._range(query["Prefix"], query.get("After", ""))
            case "GET", "/-/kv-watch":
                return await self._watch(query)
            case "POST", "/-/kv-txn":
                return await self._transact(json.loads(body))
        return json_response(400, {})

    def _key(self, key: str) -> HttpResponse:
        snapshot = self._store.snapshot(key)
        for entry in snapshot.entries:
            if entry.name == key:
                return json_response(200, {**_item(entry), "AsOf": snapshot.as_of})
        return json_response(404, {"AsOf": snapshot.as_of})

    def _range(self, prefix: str, after: str) -> HttpResponse:
        snapshot = self._store.snapshot(prefix)
        entries = [e for e in snapshot.entries if e.name > after]
        page = {
            "items": [_item(entry) for entry in entries[:PAGE_ITEMS]],
            "HasMore": len(entries) > PAGE_ITEMS,
            "AsOf": snapshot.as_of,
        }
        return json_response(200, page)

    async def _watch(self, query: dict[str, str]) -> HttpResponse:
        wait = timedelta(milliseconds=int(query["WaitMs"]))
        try:
            changes = await self._store.watch(
                query["Prefix"], int(query["After"]), wait
            )
        except HistoryLostError:
            return json_response(410, {})
        removed = [{"Key": k, "Revision": 1, "Removed": True} for k in changes.removed]
        events = [_item(entry) for entry in changes.written]
        return json_response(200, {"events": events + removed, "AsOf": changes.as_of})

    async def _transact(self, body: dict[str, Any]) -> HttpResponse:
        for key in body.get("Deletes", ()):
            self._store.remove(key)
        revision = 0
        for expected, write in zip(
            body.get("Expect", ()), body.get("Writes", ()), strict=True
        ):
            value = b64decode(write["Value"])
            try:
                revision = await self._store.compare_and_swap(
                    write["Key"], value, expected["Revision"]
                )
            except StoreConflictError:
                return json_response(412, {"items": []})
        return json_response(200, {"Revision": revision})


def _item(entry: StoreEntry) -> dict[str, Any]:
    return {
        "Key": entry.name,
        "Value": b64encode(entry.value).decode(),
        "Revision": entry.version,
        "Created": entry.version,
        "Lease": 0,
    }


__all__ = ["KvApp"]
