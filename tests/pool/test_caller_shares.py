"""Check what the shares of callers do with unusual reports and loads."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import pytest
from tests.pool.test_placement import NOW, ms, step

from brasstray.pool.caller_shares import SHARE_PERIOD, CallerShares
from brasstray.pool.durations import Durations
from brasstray.pool.shortage import PlannedStep, ShortagePlan

CORES = 60.0
HOSTS = 6


@dataclass(frozen=True)
class Host:
    name: str


def job(host, now=NOW):
    changes = {"due": now + ms(380), "limit": now + ms(3_000)}
    one = step(estimate=200, priority=1, requester=Host(host))
    for name, value in changes.items():
        setattr(one, name, value)
    return one


def shares_of_busy_pool(now=NOW, weights=None):
    """Return the shares after hosts have asked for twice the capacity for long."""
    shares = CallerShares()
    weights = weights or {}
    total = sum(weights.get(f"h{n}", 1) for n in range(HOSTS))
    for n in range(HOSTS):
        one = job(f"h{n}")
        part = weights.get(f"h{n}", 1) / total
        shares.record_start(one, CORES * SHARE_PERIOD.total_seconds() * part, now)
        shares.record_demand(one, timedelta(seconds=CORES / 6.8), 2, now)
    return shares


def room(shares, host, now=NOW):
    """Return the part of its slack that a new job of `host` may wait."""
    plan = ShortagePlan(Durations(1.0), shares)
    planned = PlannedStep(job(host, now), timedelta(0), ms(200))
    return plan.room(planned, CORES, now) / ms(180)


@pytest.mark.parametrize("done_ms", [0, -1, -(10**18), 10**18])
@pytest.mark.parametrize("other", ["h1", "h5"])
def test_an_absurd_report_changes_nothing_for_other_callers(done_ms, other):
    # Guards against a host that takes capacity from others by what it reports.
    shares = shares_of_busy_pool()
    before = room(shares, other)
    shares.record_report(job("h0"), done_ms / 1_000, NOW)
    assert room(shares, other) == pytest.approx(before)


@pytest.mark.parametrize("done_ms", [600_000, 10**9, 10**18])
def test_an_absurd_report_does_not_lock_its_host_out(done_ms):
    # Guards against callers that are refused for long after their host once reported
    # too much, as after a job with an estimate of minutes.
    shares = shares_of_busy_pool()
    shares.record_report(job("h0"), done_ms / 1_000, NOW)
    later = NOW + timedelta(seconds=5)
    for n in range(HOSTS):
        one = job(f"h{n}")
        work = CORES * SHARE_PERIOD.total_seconds() / HOSTS
        shares.record_start(one, work, later)
        shares.record_demand(one, timedelta(seconds=CORES / 6.8), 2, later)
    assert room(shares, "h0", later) >= 0.1


def test_a_caller_that_became_modest_is_served_again_soon():
    # Guards against a caller that is refused for longer than it pushed.
    shares = shares_of_busy_pool(weights={"h0": 10})
    later = NOW + timedelta(seconds=2)
    for n in range(1, HOSTS):
        one = job(f"h{n}")
        work = CORES * SHARE_PERIOD.total_seconds() / HOSTS
        shares.record_start(one, work, later)
    for n in range(HOSTS):
        one = job(f"h{n}")
        shares.record_demand(one, timedelta(seconds=CORES / 6.8), 2, later)
    assert room(shares, "h0", later) >= 0.1
