"""Check which set of evacuated data centres a host adopts."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.batch.evacuation_set import EvacuationSet
from brasstray.host.evacuations import Evacuations
from brasstray.host.operator_source import OperatorEntries


class Clock:
    def monotonic(self):
        return timedelta(0)


class EventRecorder:
    def __init__(self):
        self.recorded = []

    def __getattr__(self, name):
        return lambda *args: self.recorded.append((name, *args))


def full(as_of, *centres):
    return lambda known: known.apply_entries(
        OperatorEntries(None, as_of, frozenset(centres)), full=True
    )


def changes(as_of, evacuated="", resumed=""):
    entries = OperatorEntries(None, as_of, frozenset(evacuated), frozenset(resumed))
    return lambda known: known.apply_entries(entries, full=False)


def from_host(as_of, *centres):
    found = EvacuationSet(as_of, frozenset(centres))
    return lambda known: known.adopt(found, "another")


@pytest.mark.parametrize(
    ("updates", "as_of", "centres"),
    [
        ([], 0, ""),
        ([full(5)], 5, ""),
        ([full(5, "a")], 5, "a"),
        ([full(5), changes(6, "a")], 6, "a"),
        ([full(5, "a"), changes(6, "b"), changes(8, "", "a")], 8, "b"),
        ([full(5), from_host(7, "a")], 7, "a"),
        # A set that another host read earlier does not revert a newer change.
        ([full(5, "a"), changes(9, "", "a"), from_host(8, "a")], 9, ""),
        ([full(5), changes(9, "a"), from_host(8)], 9, "a"),
        # The store delivers a change that another host has sent already, then a newer.
        ([full(5), from_host(7, "a"), changes(6, "a")], 7, "a"),
        ([full(5), from_host(7, "a"), changes(8, "ab")], 8, "ab"),
        ([full(5, "a"), from_host(7), changes(7, "", "a")], 7, ""),
        # After the store has lost its history, the full set is read again.
        ([full(5, "a"), full(9, "b")], 9, "b"),
        # Unknown data centres are ignored.
        ([full(5, "x", "a"), changes(6, "y")], 6, "a"),
    ],
)
def test_the_set_read_at_the_latest_version_is_adopted(updates, as_of, centres):
    known = Evacuations(frozenset("ab"), Clock(), EventRecorder())
    for update in updates:
        update(known)
    assert known.current == EvacuationSet(as_of, frozenset(centres))
    assert known.current.was_read == bool(as_of)
    assert {pool for pool in "abxy" if known.is_evacuated(pool)} == set(centres)


def test_an_event_is_recorded_only_if_the_set_changes():
    events = EventRecorder()
    known = Evacuations(frozenset("ab"), Clock(), events)
    for update in (
        full(5),
        from_host(6),
        from_host(7, "a"),
        changes(8, "a"),
        from_host(9, "a"),
    ):
        update(known)
    recorded = [(found.as_of, source) for name, found, source in events.recorded]
    assert recorded == [(5, "store"), (7, "another")]
