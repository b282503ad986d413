"""Stand in for the platform's metadata store."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from urllib.parse import unquote_plus

from standins.http import Server

PAGE_ITEMS = 500


class Store:
    """Hold keys with revisions and their history, as the platform's page says.

    Each host has a port of its own, so that the store can turn one of them away:
    `turned_away` maps the name of a host to the status that it gets.
    """

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.turned_away = {}
        self._changed = asyncio.Event()

    async def port_for(self, host):
        """Return a port at which only `host` reaches the store."""

        async def handle(request):
            status = self.turned_away.get(host)
            if status is not None:
                return status, {}
            return await self._respond(request)

        return (await Server(handle).start()).port

    def put(self, key, value):
        """Write a key without a condition."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({"Key": key, "Revision": self.revision, "Removed": True})

    def _record(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _respond(self, request):
        query = {name: unquote_plus(text) for name, text in request.query.items()}
        match request.method, request.path:
            case "GET", "/-/kv-key":
                item = self.items.get(query["Key"])
                if item is None:
                    return 404, {"AsOf": self.revision}
                return 200, {**item, "AsOf": self.revision}
            case "GET", "/-/kv-range":
                after = query.get("After", "")
                found = [
                    item
                    for key, item in sorted(self.items.items())
                    if key.startswith(query["Prefix"]) and key > after
                ]
                return 200, {
                    "items": found[:PAGE_ITEMS],
                    "HasMore": len(found) > PAGE_ITEMS,
                    "AsOf": self.revision,
                }
            case "GET", "/-/kv-watch":
                return await self._watch(query)
            case "POST", "/-/kv-txn":
                return self._transact(request.json())
        return 400, {}

    async def _watch(self, query):
        prefix, after = query["Prefix"], int(query["After"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["WaitMs"]) / 1_000
        while True:
            events = [
                event
                for event in self.history
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body):
        expected = body.get("Expect", [])
        current = [(e, self.items.get(e["Key"])) for e in expected]
        if any((i["Revision"] if i else 0) != e["Revision"] for e, i in current):
            return 412, {"items": [item for _, item in current if item]}
        for write in body.get("Writes", []):
            self.put(write["Key"], b64decode(write["Value"]))
        for key in body.get("Deletes", []):
            self.remove(key)
        return 200, {"Revision": self.revision}
