"""Define the request and response bodies of the store's HTTP interface."""

from __future__ import annotations

from base64 import b64decode, b64encode

import msgspec

from brasstray.platform.body import Body, Whole
from brasstray.store.entry import StoreEntry
from brasstray.store.watchable_store import Changes


class Item(Body, frozen=True, kw_only=True):
    """Hold a key and its value in base64; `removed` marks a deletion event."""

    key: str
    value: str = ""
    revision: Whole
    removed: bool = False

    def to_entry(self) -> StoreEntry:
        """Convert to an entry, with an empty value if it is not valid base64.

        An exception would hide all other entries of the page. No entry that hosts read
        may be empty, so an empty value is reported as unreadable later.
        """
        try:
            value = b64decode(self.value)
        except ValueError:
            value = b""
        return StoreEntry(self.key, value, self.revision)


class RangeReply(Body, frozen=True, kw_only=True):
    """Hold a page of items; the next page begins after the last key."""

    items: list[Item] = msgspec.field(default_factory=list, name="items")
    has_more: bool = False
    as_of: Whole


class WatchReply(Body, frozen=True, kw_only=True):
    """Hold the changes under a prefix, and the revision to watch from next."""

    events: list[Item] = msgspec.field(default_factory=list, name="events")
    as_of: Whole

    def to_changes(self) -> Changes:
        """Convert the events, keeping the last one of each key.

        A key that was deleted and written again within one response, or the reverse,
        would otherwise be both written and removed, in an unknown order.
        """
        latest = {item.key: item for item in self.events}.values()
        return Changes(
            tuple(item.to_entry() for item in latest if not item.removed),
            tuple(item.key for item in latest if item.removed),
            self.as_of,
        )


class Expectation(Body, frozen=True, kw_only=True):
    """Require a key to be at a revision; 0 requires that it does not exist."""

    key: str
    revision: int


class Write(Body, frozen=True, kw_only=True):
    """Hold a key and its new value in base64."""

    key: str
    value: str


class Transaction(Body, frozen=True, kw_only=True):
    """Write and delete keys atomically if all expectations hold."""

    expect: list[Expectation] = msgspec.field(default_factory=list)
    writes: list[Write] = msgspec.field(default_factory=list)
    deletes: list[str] = msgspec.field(default_factory=list)


class TransactionReply(Body, frozen=True, kw_only=True):
    """Hold the revision that a transaction created."""

    revision: Whole


def encode_compare_and_swap(name: str, value: bytes, expected: int) -> bytes:
    """Encode a transaction that writes `value` if the revision is `expected`."""
    return Transaction(
        expect=[Expectation(key=name, revision=expected)],
        writes=[Write(key=name, value=b64encode(value).decode())],
    ).encode()


__all__ = [
    "Item",
    "RangeReply",
    "Transaction",
    "TransactionReply",
    "WatchReply",
    "encode_compare_and_swap",
]
