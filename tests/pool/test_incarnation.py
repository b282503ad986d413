"""Check which incarnation of a minion an entry or a reply is taken to belong to."""

from __future__ import annotations

import pytest

from brasstray.pool.incarnation import (
    Incarnation,
    classify_entry,
    classify_reply,
    parse_born,
)

SAME, EARLIER = Incarnation.SAME, Incarnation.EARLIER
LATER, UNKNOWN = Incarnation.LATER, Incarnation.UNKNOWN


@pytest.mark.parametrize(
    ("known", "listed", "former", "expected"),
    [
        (None, None, set(), SAME),
        (100, 100, set(), SAME),
        (100, 200, set(), LATER),
        (None, 200, set(), LATER),
        (200, 100, set(), EARLIER),
        (200, 100, {100}, EARLIER),
        # A clock was set back: 150 had replied in place of 200, which is still listed.
        (150, 200, {200}, EARLIER),
        (150, 300, {200}, LATER),
        (100, None, set(), UNKNOWN),
        (100, None, {None}, UNKNOWN),
        (0, None, set(), UNKNOWN),
    ],
)
def test_entry_is_classified(known, listed, former, expected):
    assert classify_entry(known, listed, former) is expected


@pytest.mark.parametrize(
    ("known", "replied", "replaced", "expected"),
    [
        (None, None, False, SAME),
        (100, 100, False, SAME),
        (100, 200, False, LATER),
        (None, 200, False, LATER),
        # Whoever answers a call that was sent after 200 was seen has followed it.
        (200, 100, False, LATER),
        (100, None, False, UNKNOWN),
        (100, 100, True, EARLIER),
        (100, 200, True, EARLIER),
        (100, None, True, EARLIER),
        (None, None, True, EARLIER),
    ],
)
def test_reply_is_classified(known, replied, replaced, expected):
    assert classify_reply(known, replied, replaced=replaced) is expected


@pytest.mark.parametrize("value", [None, 0, 1_764_000_000_000])
def test_time_of_start_is_read(value):
    assert parse_born(value) == value


@pytest.mark.parametrize(
    "value", ["1764000000000", 1.5, 1764000000000.0, True, -1, 10**30, [], {}]
)
def test_time_of_start_of_another_type_is_invalid(value):
    with pytest.raises(ValueError, match="invalid"):
        parse_born(value)
