"""Check what is reported of learned values, how it is read, kept and merged."""

from __future__ import annotations

import math
from datetime import timedelta

import cbor2
import pytest
from tests.pool.learned import NOW, value

from brasstray.batch.ids import ConfigVersion, FencingToken
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.successors import Successors
from brasstray.peer.pool_messages import decode_frame, encode_frame
from brasstray.pool.learned_encoding import (
    MAX_POWER,
    RATIO_STEP,
    decode_values,
    encode_values,
)
from brasstray.pool.learned_merge import HALF_LIFE, merge_remote, of_pool, start_values
from brasstray.pool.learned_report import (
    MAX_KEY_LENGTH,
    MAX_REPORTED,
    REFRESH_INTERVAL,
    SentValues,
)
from brasstray.pool.learned_table import MAX_MINIONS, LearnedTable, best_remote
from brasstray.pool.learned_values import TASK_CPU, LearnedValues

SECOND = timedelta(seconds=1)
OLD, NEW = FencingToken(7), FencingToken(8)
# A report of MAX_REPORTED values whose names have a usual length; a weak host's link
# carries 1.6 MB/s, so this takes it 10 ms.
MAX_USUAL_BYTES = 16_000
MAX_BYTES = 32_000


def report(first, then=None, after=SECOND):
    """Return what is sent of `then`, `after` the values `first` were sent."""
    sent = SentValues()
    found = sent.next_report(LearnedValues(first), NOW)
    if then is not None:
        found = sent.next_report(LearnedValues(then), NOW + after)
    return dict(found.minions)


@pytest.mark.parametrize(
    ("found", "sent"),
    [
        (value(1.5), True),
        (value(0.7), True),
        (value(1.0), False),
        (value(1.08), False),
        (value(0.93), False),
        (value(1.5, count=1), True),
        (value(1.5, count=0), False),
        (value(500.0), False),
    ],
    ids=[
        "slow",
        "fast",
        "usual",
        "noise",
        "noise of a fast one",
        "one run",
        "no own run",
        "absurd",
    ],
)
def test_only_what_differs_from_the_default_is_reported(found, sent):
    assert report({"m": found}) == ({"m": found} if sent else {})


@pytest.mark.parametrize(
    ("then", "after", "sent"),
    [
        (value(1.5), SECOND, False),
        (value(1.58), SECOND, False),
        (value(1.8), SECOND, True),
        (value(1.0), SECOND, True),
        (value(1.5, age=-30), REFRESH_INTERVAL, True),
        (value(1.5), REFRESH_INTERVAL, False),
        (value(1.5, age=-30), REFRESH_INTERVAL / 2, False),
    ],
    ids=["same", "noise", "slower", "usual again", "still so", "idle", "just sent"],
)
def test_only_changes_are_reported(then, after, sent):
    """Guard against a report of the whole table each time."""
    assert report({"m": value(1.5)}, {"m": then}, after) == (
        {"m": then} if sent else {}
    )


def test_report_is_bounded_and_the_rest_follows():
    """Guard against a large message when a host connects to a large pool's owner."""
    keys = [f"i-{number:010x}@1764783245123" for number in range(2_000)]
    values = {key: value(1.5 + 0.001 * n) for n, key in enumerate(keys)}
    sent, reports = SentValues(), []
    while found := sent.next_report(LearnedValues(values), NOW).minions:
        reports.append(found)
    assert max(map(len, reports)) == MAX_REPORTED
    assert sum(map(len, reports)) == 2_000
    assert keys[-1] in reports[0]
    size = len(cbor2.dumps(encode_values(LearnedValues(reports[0]), NOW)))
    assert size < MAX_USUAL_BYTES


def test_names_of_any_length_keep_a_report_within_its_bound():
    names = {f"{number:0{MAX_KEY_LENGTH}}": value(9.9) for number in range(300)}
    names["x" * (MAX_KEY_LENGTH + 1)] = value(50.0)
    found = SentValues().next_report(LearnedValues(names, names), NOW)
    assert found.count == MAX_REPORTED
    assert len(cbor2.dumps(encode_values(found, NOW))) < MAX_BYTES


def test_values_survive_the_encoding_but_for_rounding():
    values = LearnedValues(
        {"m": value(3.0, age=12)}, {"q": value(0.4)}, {TASK_CPU: value(6.8, count=5)}
    )
    read = decode_values(encode_values(values, NOW), NOW + SECOND)
    assert read.problems == []
    for before, after in (
        (values.minions["m"], read.values.minions["m"]),
        (values.queues["q"], read.values.queues["q"]),
        (values.sizes[TASK_CPU], read.values.sizes[TASK_CPU]),
    ):
        assert after.ratio == pytest.approx(before.ratio, rel=RATIO_STEP - 1)
        assert after.count == before.count
        assert after.learned_at == before.learned_at + SECOND


def test_nothing_learned_takes_no_bytes():
    """Guard against bytes where nothing was learned."""
    assert encode_values(LearnedValues(), NOW) is None
    assert b"learned" not in encode_frame([Successors(hosts=())])
    assert encode_frame([Successors(hosts=())]) == cbor2.dumps(
        [[{"kind": "successors", "hosts": []}]]
    )


def test_state_without_learned_values_is_as_before():
    """Guard against bytes where nothing was learned."""
    state = PoolState(
        incarnation=IncarnationId("i"),
        pool=None,
        token=FencingToken(0),
        free_slots=3,
        wait_ms=0,
        ready=True,
        config_version=ConfigVersion(1),
    )
    assert b"learned" not in encode_frame([state])


ABSURD = {
    "a number": 5,
    "text": "text",
    "empty": [],
    "too short": [1, 2],
    "too long": [1, 2, 3, 4],
    "tiny ratio": [-MAX_POWER - 1, 5, 0],
    "huge ratio": [MAX_POWER + 1, 5, 0],
    "huge number": [10**5_000, 5, 0],
    "NaN": [math.nan, 5, 0],
    "infinite": [math.inf, 5, 0],
    "fraction": [1.5, 5, 0],
    "boolean": [True, 5, 0],
    "nothing": [None, 5, 0],
    "negative count": [1, -5, 0],
    "no count": [1, 0, 0],
    "huge count": [1, 10**9, 0],
    "negative age": [1, 5, -1],
    "huge age": [1, 5, 10**9],
    "NaN age": [1, 5, math.nan],
    "text as age": [1, 5, "0"],
    "table": {"a": 1},
    "nested": [[[]], {}, ()],
}


@pytest.mark.parametrize("item", ABSURD.values(), ids=ABSURD.keys())
def test_absurd_value_is_left_out_and_named(item):
    """Guard against a host that is misled, or crashes, by a fault of another."""
    encoded = {"m": {"bad": item, "good": [20, 5, 0]}, "q": {"bad": item}}
    [received] = decode_frame(encode_frame([Successors(hosts=(), learned=encoded)]))
    read = decode_values(received.learned, NOW)
    assert list(read.values.minions) == ["good"]
    assert read.values.count == 1
    assert len(read.problems) == 2
    assert all(len(problem) < 300 for problem in read.problems)


@pytest.mark.parametrize(
    "encoded",
    [
        7,
        "x",
        [],
        [1],
        {"m": 3},
        {"m": [1]},
        {"m": {1: [1, 5, 0]}},
        {"m": {"": [1, 5, 0]}},
    ]
    + [{"m": {"x" * 99: [1, 5, 0]}}, math.nan, True],
    ids=repr,
)
def test_absurd_report_is_left_out_and_named(encoded):
    read = decode_values(encoded, NOW)
    assert read.values.count == 0
    assert len(read.problems) == 1


def test_report_with_too_many_values_is_cut_off():
    encoded = {"m": {str(number): [20, 5, 0] for number in range(10_000)}}
    read = decode_values(encoded, NOW)
    assert len(read.values.minions) == MAX_REPORTED
    assert read.problems == ["10000 values"]


def test_unknown_fields_of_a_later_build_are_ignored():
    read = decode_values({"z": 3, "m": {"a": [20, 5, 0]}}, NOW)
    assert (list(read.values.minions), read.problems) == (["a"], [])


@pytest.mark.parametrize(
    ("token", "ratio"),
    [(OLD, 3.0), (NEW, 2.0)],
    ids=["from a replaced owner", "from the same owner"],
)
def test_replaced_owner_never_overrules_a_newer_one(token, ratio):
    """Guard against an owner that was cut off, returns and spreads old values."""
    table = LearnedTable()
    assert table.record(LearnedValues({"m": value(1.5), "n": value(4.0)}), OLD, "a")
    assert table.record(LearnedValues({"m": value(3.0)}), NEW, "b")
    table.record(LearnedValues({"m": value(2.0)}), token, "a")
    assert table.values.minions["m"].ratio == ratio
    # What only the earlier owner learned is kept.
    assert table.values.minions["n"].ratio == 4.0


def test_table_is_bounded_and_keeps_the_freshest():
    """Guard against memory that grows with every minion that ever was."""
    table = LearnedTable()
    for number in range(MAX_MINIONS + 10):
        found = value(2.0, age=MAX_MINIONS * 2 - number)
        table.record(LearnedValues({f"m{number}": found}), NEW, "a")
    assert len(table.minions) == MAX_MINIONS
    assert f"m{MAX_MINIONS + 9}" in table.minions
    assert "m0" not in table.minions


@pytest.mark.parametrize(
    ("found", "ratio"),
    [
        (value(4.0), 4.0),
        (value(4.0, age=5), 4.0),
        (value(4.0, age=HALF_LIFE.total_seconds()), 2.0),
        (value(4.0, age=10 * HALF_LIFE.total_seconds()), None),
        (value(4.0, age=900 * HALF_LIFE.total_seconds()), None),
        (value(4.0, count=1, age=2 * HALF_LIFE.total_seconds()), None),
    ],
    ids=["fresh", "seconds old", "old", "very old", "days old", "old and uncertain"],
)
def test_new_owner_starts_from_what_is_left_of_a_value(found, ratio):
    """Guard against speeds of minions that are long out of date."""
    started = start_values(LearnedValues({"m": found}, {"q": found}), NOW)
    for table in (started.minions, started.queues):
        left = {key: v.ratio for key, v in table.items()}
        assert left == (
            {}
            if ratio is None
            else {"qm"[table is started.minions]: pytest.approx(ratio, rel=0.01)}
        )


def test_new_owner_drops_minions_that_the_pool_has_no_more():
    values = LearnedValues({"m@1": value(3.0), "m@2": value(2.0)})
    assert list(of_pool(values, {"m@2"}).minions) == ["m@2"]
    assert of_pool(values, None) == values


def test_owners_that_follow_one_another_fade_a_value_as_one_would():
    """Guard against speeds that are lost in a series of takeovers."""
    started = LearnedValues({"m": value(4.0, age=60)})
    for second in range(60):
        started = start_values(started, NOW + second * SECOND)
    at_once = start_values(LearnedValues({"m": value(4.0, age=60)}), NOW + 59 * SECOND)
    ratio = started.minions["m"].ratio
    assert ratio == pytest.approx(at_once.minions["m"].ratio)
    assert ratio > 3.0


@pytest.mark.parametrize(
    ("own", "remote", "ratio"),
    [
        (None, value(2.0), 2.0),
        (value(1.0, count=2), value(2.0), 1.64),
        (value(1.0, count=4), value(2.0, count=5), 1.18),
        (value(1.0, count=5), value(2.0), None),
        (value(1.0, age=3 * HALF_LIFE.total_seconds()), value(2.0), 1.59),
        (None, value(2.0, count=4), None),
        (None, value(2.0, age=900 * HALF_LIFE.total_seconds()), None),
        (value(2.0, count=3), value(2.05), None),
    ],
    ids=[
        "unknown here",
        "few runs here",
        "few runs in both",
        "enough runs here",
        "long unused here",
        "few runs there",
        "days old there",
        "nearly the same",
    ],
)
def test_values_of_other_data_centres_count_less(own, remote, ratio):
    merged = merge_remote(own, remote, NOW)
    assert (merged and merged.ratio) == (ratio and pytest.approx(ratio, rel=0.02))


def test_most_certain_of_several_data_centres_is_used():
    tables = {"a": LearnedTable(), "b": LearnedTable(), "c": LearnedTable()}
    for pool, found in (
        ("a", value(2.0, count=9)),
        ("b", value(3.0)),
        ("c", value(4.0, age=900)),
    ):
        tables[pool].record(LearnedValues({"m": found}, {"q": found}), NEW, pool)
    best = best_remote(tables, NOW)
    assert best.queues["q"].ratio == 3.0
    assert best.minions == {}
