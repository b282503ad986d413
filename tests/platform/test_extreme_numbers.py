"""Check that no number from outside can exceed what the program computes with."""

from __future__ import annotations

import json
from datetime import timedelta

import pytest
from hypothesis import example, given, settings, strategies as st
from tests.platform.test_bodies import JOB, ROUTE, config, job
from tests.platform.test_decoders import SERVER, entry

from brasstray.batch.limits import MAX_ESTIMATE, MAX_RESOURCES, MAX_TIMEOUT, can_run
from brasstray.coordinator.coordinator import critical_path
from brasstray.host.operator_source import UnreadableConfigError
from brasstray.platform.body import MAX_WHOLE, UnreadableBodyError
from brasstray.platform.configuration_body import parse_configuration
from brasstray.platform.job_app import DEFAULT_TIMEOUT, caller_timeout
from brasstray.platform.job_bodies import UnreadableJobError, parse_job
from brasstray.platform.minion_bodies import HoldReply
from brasstray.platform.minion_listing import parse_minion_entry
from brasstray.platform.store_bodies import RangeReply

# Up to beyond any machine word, at the edges of words, and between them.
WHOLE = st.one_of(
    st.integers(0, 2**70),
    st.integers(0, 70).map(lambda bits: 2**bits),
    st.integers(1, 70).map(lambda bits: 2**bits - 1),
    st.integers(0, 40).map(lambda digits: 10**digits),
)
# As they may stand in JSON, which has no other spelling for them.
NUMBERS = st.one_of(
    WHOLE.map(str),
    WHOLE.map(lambda number: f"-{number}"),
    st.floats(allow_nan=False, allow_infinity=False).map(json.dumps),
    st.sampled_from(
        ["1e308", "1e400", "-1e400", '"nan"', '"inf"', '"-inf"', "NaN", "Infinity"]
    ),
)
FEW = settings(max_examples=250, derandomize=True, deadline=None, database=None)


def with_number(body, field, number):
    """Return the JSON of `body` with `number`, spelled as given, for `field`."""
    return json.dumps(body | {field: "@"}).replace('"@"', number).encode()


# Guards against a job whose numbers end the process of a host: a duration was computed
# from them that no timedelta can hold.
@FEW
@given(
    field=st.sampled_from(["Cpu", "MemMb", "Gpu", "EstMs", "MaxPerServer", "Count"]),
    number=NUMBERS,
)
@example(field="Cpu", number=str(2**63 - 1))
@example(field="EstMs", number=str(2**63 - 1))
def test_a_job_with_an_extreme_number_is_bounded(field, number):
    step = with_number({"Count": 1, "Cpu": 1, "EstMs": 1}, field, number).decode()
    text = f'{{"Spec": "s", "Steps": [{step}], "BestEffort": true}}'.encode()
    try:
        found = parse_job(JOB, text)
    except UnreadableJobError:
        return
    assert found.steps[0].estimate <= MAX_ESTIMATE
    assert can_run(found) == found.steps[0].needs.fits(MAX_RESOURCES)
    assert critical_path(found) * 1_000 + timedelta(days=1)


# Guards against a long chain of steps whose estimates add up to more than a duration.
def test_the_longest_chain_of_steps_has_a_duration():
    steps = [{"EstMs": 2**62, "After": [n - 1] if n else []} for n in range(2_000)]
    text = json.dumps({"Steps": steps, "BestEffort": True}).encode()
    assert critical_path(parse_job(JOB, text)) == 2_000 * MAX_ESTIMATE


@FEW
@given(number=NUMBERS | st.text(max_size=5))
@example(number="8.63999e16")
@example(number="-1e300")
def test_a_timeout_that_a_caller_states_is_bounded(number):
    timeout = caller_timeout({"headers": [(b"x-deadline", number.encode())]})
    assert timedelta(0) <= timeout <= MAX_TIMEOUT


@pytest.mark.parametrize(
    ("text", "timeout"),
    [
        (None, DEFAULT_TIMEOUT),
        ("", DEFAULT_TIMEOUT),
        ("soon", DEFAULT_TIMEOUT),
        ("nan", DEFAULT_TIMEOUT),
        ("inf", DEFAULT_TIMEOUT),
        ("250.5", timedelta(milliseconds=250.5)),
        ("-7", timedelta(0)),
    ],
)
def test_the_stated_timeout_is_read(text, timeout):
    headers = [] if text is None else [(b"x-deadline", text.encode())]
    assert caller_timeout({"headers": headers}) == timeout


@FEW
@given(
    field=st.sampled_from(["SloMs", "Priority", "Attempts", "Stretch"]), number=NUMBERS
)
def test_a_route_with_an_extreme_number_is_bounded(field, number):
    route = with_number(ROUTE, field, number).decode()
    text = config(Routes=["@"]).decode().replace('"@"', route).encode()
    try:
        found = parse_configuration(text).queues[0]
    except UnreadableConfigError:
        return
    assert timedelta(0) <= found.slack <= timedelta(days=1)
    assert 0 <= found.stretch <= 1_000
    assert -1_000 <= found.priority <= 1_000
    assert 1 <= found.attempts <= 1_000


# Guards against an entry of another program that makes every minion unknown, or that
# offers more than a machine can have.
@FEW
@given(
    field=st.sampled_from(["Cpu", "MemMb", "Gpu", "ColdLeftMs", "born"]), number=NUMBERS
)
def test_an_entry_with_an_extreme_number_is_bounded_or_invalid(field, number):
    capacity = {"Cpu": 16_000, "MemMb": 32_768}
    if field in ("Cpu", "MemMb", "Gpu"):
        text = with_number(capacity, field, number).decode()
        body = json.dumps(SERVER | {"Capacity": "@"}).replace('"@"', text).encode()
    else:
        body = with_number(SERVER, field, number)
    try:
        found = parse_minion_entry(entry(body))
    except UnreadableBodyError:
        return
    assert found.capacity.fits(MAX_RESOURCES)
    assert 0 <= found.cold_left_ms <= 600_000


# Guards against a reply of one minion that ends its owner: a clock or a run number that
# no later call can carry.
@FEW
@given(
    place=st.sampled_from(["clock", "run", "percent", "end", "ended"]), number=NUMBERS
)
def test_a_reply_with_an_extreme_number_is_bounded_or_invalid(place, number):
    body = {
        "ClockMs": "@" if place == "clock" else 5,
        "Running": [
            [
                f"{JOB}.0.0.0",
                "@" if place == "run" else 1,
                "",
                "@" if place == "percent" else 5,
            ]
        ],
        "Finished": [
            [
                "@" if place == "end" else 1,
                f"{JOB}.0.0.1",
                "@" if place == "ended" else 1,
                "done",
            ]
        ],
    }
    text = json.dumps(body).replace('"@"', number).encode()
    try:
        found = HoldReply.decode(text).to_probe_reply()
    except (UnreadableBodyError, ValueError):
        return
    assert -MAX_WHOLE <= found.clock_ms <= MAX_WHOLE
    assert 0 <= found.active[0].run <= MAX_WHOLE
    assert 0 <= found.active[0].percent <= 100
    assert 0 <= found.ended[0].number <= MAX_WHOLE
    assert 0 <= found.ended[0].run <= MAX_WHOLE


@FEW
@given(number=NUMBERS)
def test_a_revision_of_the_store_is_bounded_or_invalid(number):
    text = f'{{"items": [{{"Key": "k", "Revision": {number}}}], "AsOf": {number}}}'
    try:
        found = RangeReply.decode(text.encode())
    except UnreadableBodyError:
        return
    assert 0 <= found.as_of == found.items[0].revision <= MAX_WHOLE


def test_a_job_of_usual_size_can_run():
    assert can_run(parse_job(JOB, job(Cpu=64_000, MemMb=262_144, Gpu=8)))
