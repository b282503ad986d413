"""Check what an owner assumes about the leases on a minion."""

from __future__ import annotations

from datetime import timedelta

import pytest

from brasstray.pool.lease_clock import MAX_EFFECT_DELAY, LeaseClock
from brasstray.pool.timing import PoolTiming


def ms(count):
    return timedelta(milliseconds=count)


@pytest.mark.parametrize(
    ("missed", "answered", "now", "may_be_extended"),
    [
        # An unanswered call to a minion that answers no later call.
        (100, None, 500, False),
        # An unanswered call, and a late reply to a call sent before it.
        (100, (50, 200), 500, False),
        # An unanswered call, and a reply to a later one: it may still take effect.
        (100, (150, 200), 500, True),
        (100, (150, 200), 100 + MAX_EFFECT_DELAY / ms(1) - 1, True),
        (100, (150, 200), 100 + MAX_EFFECT_DELAY / ms(1), False),
    ],
)
def test_delayed_call_may_extend_a_lease(missed, answered, now, may_be_extended):
    lease = LeaseClock(PoolTiming())
    lease.record_clock(5_000, ms(0), ms(2))
    lease.record_unanswered(ms(missed))
    if answered is not None:
        sent, received = answered
        lease.record_clock(5_100, ms(sent), ms(received))
    assert lease.may_be_extended(ms(now)) is may_be_extended


@pytest.mark.parametrize(
    ("answered", "until"),
    [
        # The later of two unanswered calls does not hide the earlier one.
        ((150, 400), 100),
        # A reply to a call that was sent after both concerns both.
        ((350, 400), 300),
    ],
)
def test_each_unanswered_call_may_extend_a_lease(answered, until):
    """Runs do not count as ended while any unanswered call may extend their lease."""
    lease = LeaseClock(PoolTiming())
    lease.record_clock(5_000, ms(0), ms(2))
    lease.record_unanswered(ms(100))
    lease.record_unanswered(ms(300))
    lease.record_clock(5_100, *map(ms, answered))
    end = ms(until) + MAX_EFFECT_DELAY
    assert lease.may_be_extended(end - ms(1))
    assert not lease.may_be_extended(end)


@pytest.mark.parametrize(("now", "left"), [(402, 816.3), (802, 416.3), (2_400, 0)])
def test_expiry_assumes_the_slowest_clock(now, left):
    lease = LeaseClock(PoolTiming())
    lease.record_clock(5_000, ms(0), ms(2))
    lease.record_clock(5_400, ms(400), ms(402))
    assert lease.next_lease_until(ms(402)) == 6_200
    assert abs(lease.time_to_expiry(ms(now)) / ms(1) - left) < 0.1


@pytest.mark.parametrize("asked", [False, True], ids=["none asked for", "asked for"])
@pytest.mark.parametrize(("now", "left"), [(2, 1_020.4), (402, 620.4), (2_000, 0)])
def test_longest_lease_is_assumed_at_the_first_answer(asked, now, left):
    # A previous owner may have requested any lease until the minion saw the new token.
    lease = LeaseClock(PoolTiming())
    lease.record_clock(5_000, ms(0), ms(2))
    if asked:
        lease.next_lease_until(ms(2))
    assert abs(lease.time_to_expiry(ms(now)) / ms(1) - left) < 0.1


@pytest.mark.parametrize("now", [0, 2_000, 20_000])
def test_no_lease_expires_on_a_minion_that_has_never_answered(now):
    assert LeaseClock(PoolTiming()).time_to_expiry(ms(now)) > ms(0)


@pytest.mark.parametrize(
    ("limit", "until"),
    [(None, 6_200), (ms(2_000), 6_200), (ms(802), 5_792), (ms(402), 5_400)],
)
def test_lease_ends_by_its_limit_on_the_slowest_clock(limit, until):
    """A limited lease is over in time also if the minion's clock is 2% slow."""
    lease = LeaseClock(PoolTiming())
    lease.record_clock(5_400, ms(400), ms(402))
    assert lease.next_lease_until(ms(402), limit) == until
