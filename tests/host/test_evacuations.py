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


class Notes:
    def __init__(self):
        self.seen = []

    def __getattr__(self, name):
        return lambda *args: self.seen.append((name, *args))


def full(as_of, *centres):
    return lambda known: known.apply_entries(
        OperatorEntries(None, as_of, frozenset(centres)), full=True
    )


def change(as_of, evacuated="", resumed=""):
    entries = OperatorEntries(None, as_of, frozenset(evacuated), frozenset(resumed))
    return lambda known: known.apply_entries(entries, full=False)


def told(as_of, *centres):
    found = EvacuationSet(as_of, frozenset(centres))
    return lambda known: known.adopt(found, "another")


@pytest.mark.parametrize(
    ("news", "as_of", "centres"),
    [
        ([], 0, ""),
        ([full(5)], 5, ""),
        ([full(5, "a")], 5, "a"),
        ([full(5), change(6, "a")], 6, "a"),
        ([full(5, "a"), change(6, "b"), change(8, "", "a")], 8, "b"),
        ([full(5), told(7, "a")], 7, "a"),
        # A set that another host read earlier does not revert a newer change.
        ([full(5, "a"), change(9, "", "a"), told(8, "a")], 9, ""),
        ([full(5), change(9, "a"), told(8)], 9, "a"),
        # The store delivers a change that another host has sent already, then a newer.
        ([full(5), told(7, "a"), change(6, "a")], 7, "a"),
        ([full(5), told(7, "a"), change(8, "ab")], 8, "ab"),
        ([full(5, "a"), told(7), change(7, "", "a")], 7, ""),
        # After the store has lost its history, the full set is read again.
        ([full(5, "a"), full(9, "b")], 9, "b"),
        # Unknown data centres are ignored.
        ([full(5, "x", "a"), change(6, "y")], 6, "a"),
    ],
)
def test_the_set_that_was_read_last_counts(news, as_of, centres):
    known = Evacuations(frozenset("ab"), Clock(), Notes())
    for piece in news:
        piece(known)
    assert known.current == EvacuationSet(as_of, frozenset(centres))
    assert known.current.known == bool(as_of)
    assert {pool for pool in "abxy" if known.covers(pool)} == set(centres)


def test_a_change_is_told_once_and_a_later_version_of_the_same_set_is_not():
    notes = Notes()
    known = Evacuations(frozenset("ab"), Clock(), notes)
    for piece in (full(5), told(6), told(7, "a"), change(8, "a"), told(9, "a")):
        piece(known)
    seen = [(found.as_of, source) for name, found, source in notes.seen]
    assert seen == [(5, "store"), (7, "another")]
