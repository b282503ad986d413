"""Describe the bodies of the store's calls."""

from __future__ import annotations

from base64 import b64decode, b64encode

import msgspec

from brasstray.platform.body import Body
from brasstray.store.entry import StoreEntry
from brasstray.store.watchable_store import Changes


class Item(Body, frozen=True, kw_only=True):
    """Hold a key and its value in base64; `removed` marks an event of removal."""

    key: str
    value: str = ""
    revision: int
    removed: bool = False

    def entry(self) -> StoreEntry:
        """Return the item as an entry; a value that is no base64 counts as empty.

        Guards against one such value hiding all other entries of its page: nothing
        that hosts look for is empty, so that it is told of as unreadable.
        """
        try:
            value = b64decode(self.value)
        except ValueError:
            value = b""
        return StoreEntry(self.key, value, self.revision)


class Page(Body, frozen=True, kw_only=True):
    """Hold a page of items; the next begins after the last key."""

    items: list[Item] = msgspec.field(default_factory=list, name="items")
    has_more: bool = False
    as_of: int


class Events(Body, frozen=True, kw_only=True):
    """Hold the changes under a prefix, and the revision to go on from."""

    events: list[Item] = msgspec.field(default_factory=list, name="events")
    as_of: int

    def changes(self) -> Changes:
        """Return what the events come to: only the last one of each key counts.

        Guards against a key that was removed and written again, or the other way
        round, within one answer: it would be told as both, in no order.
        """
        latest = {item.key: item for item in self.events}.values()
        return Changes(
            tuple(item.entry() for item in latest if not item.removed),
            tuple(item.key for item in latest if item.removed),
            self.as_of,
        )


class Expectation(Body, frozen=True, kw_only=True):
    """Name the revision at which a key must be; 0 means that there is none."""

    key: str
    revision: int


class Write(Body, frozen=True, kw_only=True):
    """Name a key and its new value in base64."""

    key: str
    value: str


class Transaction(Body, frozen=True, kw_only=True):
    """Write and delete if all expectations hold."""

    expect: list[Expectation] = msgspec.field(default_factory=list)
    writes: list[Write] = msgspec.field(default_factory=list)
    deletes: list[str] = msgspec.field(default_factory=list)


class Committed(Body, frozen=True, kw_only=True):
    """Hold the revision that a transaction made."""

    revision: int


def swap_body(name: str, value: bytes, expected: int) -> bytes:
    """Return the transaction that writes `value` if the revision is `expected`."""
    return Transaction(
        expect=[Expectation(key=name, revision=expected)],
        writes=[Write(key=name, value=b64encode(value).decode())],
    ).encode()


__all__ = [
    "Committed",
    "Events",
    "Item",
    "Page",
    "Transaction",
    "swap_body",
]
