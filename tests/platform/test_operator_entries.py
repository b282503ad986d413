"""Test the decoding of the operators' entries in the store."""

from __future__ import annotations

import json
from datetime import timedelta

import anyio
import pytest

from brasstray.platform.operator_entries import OperatorEntryReader
from brasstray.platform.store_bodies import Item, WatchReply
from brasstray.store.entry import StoreEntry
from brasstray.store.watchable_store import Changes, Snapshot

CONFIG = json.dumps({"Version": 4}).encode()


class Store:
    def __init__(self, written, removed=()):
        self.written = tuple(StoreEntry(key, value, 7) for key, value in written)
        self.removed = tuple(removed)

    async def snapshot(self, prefix):
        return Snapshot(self.written, 9)

    async def watch(self, prefix, after, wait):
        return Changes(self.written, self.removed, 9)


def read(written, removed=()):
    ignored = []
    source = OperatorEntryReader(
        Store(written, removed), lambda name, why: ignored.append(name)
    )
    return anyio.run(source.watch, 3, timedelta(seconds=1)), ignored


@pytest.mark.parametrize(
    ("written", "version", "evacuated", "unreadable"),
    [
        ([], None, set(), False),
        ([("op/config", CONFIG)], 4, set(), False),
        ([("op/evacuate/a", b"{}")], None, {"a"}, False),
        ([("op/config", CONFIG), ("op/evacuate/a", b"{}")], 4, {"a"}, False),
        ([("op/config", b"["), ("op/evacuate/a", b"{}")], None, {"a"}, True),
        ([("op/evacuate/a", b'{"New": 1}')], None, {"a"}, False),
        ([("op/wave/1", b'{"Wave": 1}')], None, set(), False),
    ],
)
def test_each_kind_of_entry_is_read_independently_of_the_others(
    written, version, evacuated, unreadable
):
    found, ignored = read(written)
    assert (found.configuration and found.configuration.version) == version
    assert found.evacuated == evacuated
    assert (found.unreadable is not None) == unreadable
    assert ignored == []


@pytest.mark.parametrize("value", [b"", b"[", b"3", b"null", b"\xff", b"[]"])
def test_an_invalid_entry_hides_no_other(value):
    # Other programs may write entries under the operators' prefix. An invalid entry
    # must not evacuate its data centre, nor hide the evacuation of another one.
    found, ignored = read([("op/evacuate/a", value), ("op/evacuate/b", b"{}")])
    assert found.evacuated == {"b"}
    assert ignored == ["op/evacuate/a"]


def test_removed_entries_resume_their_data_centres():
    found, _ = read([], ["op/evacuate/a", "op/wave/3", "op/config"])
    assert found.resumed == {"a"}


@pytest.mark.parametrize(
    ("events", "written", "removed"),
    [
        ("put", ["k"], []),
        ("put gone", [], ["k"]),
        ("gone put", ["k"], []),
        ("put gone put", ["k"], []),
        ("gone put gone", [], ["k"]),
    ],
)
def test_the_last_event_of_a_key_counts(events, written, removed):
    # An operator evacuates a data centre, resumes it and evacuates it again between two
    # watch calls of a host, so that one response holds all changes. If the key counted
    # as both written and removed, the host could use a data centre that the operator
    # believes to be evacuated.
    items = [
        Item(key="k", revision=number, removed=event == "gone")
        for number, event in enumerate(events.split())
    ]
    found = WatchReply(events=items, as_of=9).to_changes()
    assert [entry.name for entry in found.written] == written
    assert list(found.removed) == removed
