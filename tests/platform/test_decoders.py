"""Fuzz the decoders of the platform's formats with arbitrary bytes and JSON."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings, strategies as st

from brasstray.batch.configuration import Configuration
from brasstray.host.operator_source import UnreadableConfigError
from brasstray.host.owner_record import decode_owned_pool
from brasstray.peer.errors import UnreadableMessageError
from brasstray.peer.pool_messages import decode_frame
from brasstray.platform.body import UnreadableBodyError
from brasstray.platform.configuration_body import parse_configuration
from brasstray.platform.job_bodies import (
    UnreadableJobError,
    UnsupportedJobError,
    parse_job,
)
from brasstray.platform.minion_bodies import HoldReply, Reply
from brasstray.platform.minion_listing import parse_minion_entry
from brasstray.platform.store_bodies import (
    Item,
    RangeReply,
    TransactionReply,
    WatchReply,
)
from brasstray.store.entry import StoreEntry

SERVER = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "Capacity": {"Cpu": 16_000, "MemMb": 32_768, "Gpu": 0},
    "Labels": ["a", "r1-3"],
    "Seq": 4,
}
NAMES = st.sampled_from(
    [
        *SERVER,
        "Steps",
        "Count",
        "After",
        "BestEffort",
        "ClockMs",
        "Running",
        "Finished",
        "Routes",
        "Name",
        "Prefix",
        "Host",
        "items",
        "events",
        "Key",
        "Value",
        "Revision",
        "AsOf",
        "host",
        "incarnation",
        "port",
    ]
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=6)
    ),
    max_leaves=12,
)
TEXTS = st.binary(max_size=60) | VALUES.map(lambda v: json.dumps(v).encode())


def entry(text, name="servers/i-1"):
    return StoreEntry(name, text, 7)


DECODERS = [
    (lambda text: parse_job("a" * 16, text), (UnreadableJobError, UnsupportedJobError)),
    (parse_configuration, UnreadableConfigError),
    (
        lambda text: HoldReply.decode(text).to_probe_reply(),
        (UnreadableBodyError, ValueError),
    ),
    (Reply.decode, UnreadableBodyError),
    (lambda text: parse_minion_entry(entry(text)), UnreadableBodyError),
    (lambda text: Item.decode(text).to_entry(), UnreadableBodyError),
    (
        lambda text: [i.to_entry() for i in RangeReply.decode(text).items],
        UnreadableBodyError,
    ),
    (WatchReply.decode, UnreadableBodyError),
    (TransactionReply.decode, UnreadableBodyError),
    (lambda text: decode_owned_pool(entry(text)), ValueError),
    (decode_frame, UnreadableMessageError),
]


@pytest.mark.parametrize(("decode", "error"), DECODERS)
@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(text=TEXTS)
def test_nothing_but_the_typed_error_is_raised(decode, error, text):
    try:
        decode(text)
    except error:
        return


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(field=st.sampled_from(sorted(SERVER)), value=VALUES)
def test_an_entry_with_one_arbitrary_field_names_a_minion_or_is_invalid(field, value):
    text = json.dumps(SERVER | {field: value}).encode()
    try:
        found = parse_minion_entry(entry(text))
    except UnreadableBodyError:
        return
    assert found.draining in (True, False)
    assert found.host


@pytest.mark.parametrize(
    "changes",
    [
        {"Service": None},
        {"Service": 7},
        {"Address": "store:80"},
        {"Address": "10.0.0.1"},
        {"Address": "10.0.0.1:99999"},
        {"Zone": ["z"]},
        {"State": "resting"},
        {"State": ""},
        {"Capacity": {}},
        {"Capacity": {"Cpu": "16000", "MemMb": 1}},
        {"Capacity": {"Cpu": -1, "MemMb": 1}},
        {"Labels": "r1-3"},
        {"born": "1764000000000"},
        {"born": 1.5},
        {"born": None},
        {"born": True},
        {"born": -1},
    ],
)
def test_an_invalid_entry_names_no_minion(changes):
    # Other programs may write entries among those of the minions. Accepting one would
    # send tasks to something that cannot run them; failing the whole listing would make
    # all other minions unknown.
    with pytest.raises(UnreadableBodyError, match=r"\w"):
        parse_minion_entry(entry(json.dumps(SERVER | changes).encode()))
    with pytest.raises(UnreadableBodyError):
        text = {k: v for k, v in SERVER.items() if k not in changes}
        parse_minion_entry(entry(json.dumps(text | changes).encode()))


@pytest.mark.parametrize("field", ["Service", "Address", "Zone", "State", "Capacity"])
def test_an_entry_without_a_field_names_no_minion(field):
    text = json.dumps({k: v for k, v in SERVER.items() if k != field}).encode()
    with pytest.raises(UnreadableBodyError):
        parse_minion_entry(entry(text))


@pytest.mark.parametrize("name", ["servers/", "servers/a b", "servers/a\r\nx: y"])
def test_a_key_that_is_no_id_names_no_minion(name):
    with pytest.raises(UnreadableBodyError):
        parse_minion_entry(entry(json.dumps(SERVER).encode(), name))


def test_a_valid_entry_names_a_minion():
    found = parse_minion_entry(entry(json.dumps(SERVER).encode()))
    assert (found.id, found.host, found.port) == ("i-1", "10.0.0.1", 80)
    assert found.capacity.cpu_millis == 16_000
    assert not found.draining


def test_services_are_known_by_the_configuration():
    text = {"Version": 1, "Services": [{"Name": "s"}, {"Name": "t"}]}
    found = parse_configuration(json.dumps(text).encode())
    assert isinstance(found, Configuration)
    assert found.has_service("t")
    assert not found.has_service("u")


@pytest.mark.parametrize(("fields", "born"), [({}, None), ({"born": 17}, 17)])
def test_the_time_of_start_is_read_from_entries_and_lists_of_runs(fields, born):
    assert parse_minion_entry(entry(json.dumps(SERVER | fields).encode())).born == born
    reply = HoldReply.decode(json.dumps({"ClockMs": 1} | fields).encode())
    assert reply.to_probe_reply().born == born


@pytest.mark.parametrize("value", ["17", 1.5, 17.0, None, True, -1])
def test_a_list_of_runs_with_a_time_of_start_of_another_type_is_invalid(value):
    reply = HoldReply.decode(json.dumps({"ClockMs": 1, "born": value}).encode())
    with pytest.raises(ValueError, match="time of start"):
        reply.to_probe_reply()
