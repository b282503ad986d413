"""Test which copies a replica stores, rejects and deletes."""

from __future__ import annotations

import pytest

from brasstray.job.ids import IncarnationId
from brasstray.journal.records import IncarnationFenced
from brasstray.journal.replica import Replica

ONE, TWO = (IncarnationFenced(incarnation=IncarnationId(f"a.b.{n}")) for n in "12")


@pytest.mark.parametrize(
    ("copies", "below", "remaining"),
    [
        ({}, 9, None),
        ({0: None}, 0, []),
        ({0: None}, 1, None),
        ({0: None, 1: ONE, 2: TWO}, 2, [TWO]),
        ({0: None, 1: ONE, 2: TWO}, 3, None),
        ({1: ONE, 5: None}, 3, []),
    ],
)
def test_drop_deletes_flushed_copies(copies, below, remaining):
    replica = Replica()
    if copies:
        assert replica.hold(3, copies)
    replica.drop(3, below)
    assert replica.fence(3) == remaining


def test_a_late_copy_of_a_replaced_leader_is_rejected():
    """Guard against two executors for one key after a takeover.

    A copy of the old leader arrives after the new leader has fenced the old term here
    and bound the key again. Confirming the copy would let both executors start tasks.
    """
    replica = Replica()
    assert replica.fence(4) is None
    assert not replica.hold(4, {0: None, 1: ONE})
    assert not replica.hold(3, {0: None})
    assert replica.fence(4) is None
    assert replica.hold(5, {0: None})


def test_a_late_drop_keeps_the_marker_of_a_later_outage():
    """Guard against a delayed drop that deletes the marker of the next outage.

    Without the marker, this replica would report to a new leader that there was no
    outage, and a key bound in that outage would be bound again.
    """
    replica = Replica()
    replica.hold(1, {0: None, 1: ONE})
    replica.hold(1, {3: None})
    replica.drop(1, 3)
    assert replica.fence(1) == []
