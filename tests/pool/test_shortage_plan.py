"""Check the order of waiting steps, the forecast and the choice of another pool."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from math import inf

import pytest
from tests.pool.test_placement import NOW, ms, step

from brasstray.batch.ids import PoolId
from brasstray.pool.caller_shares import CallerShares
from brasstray.pool.capacity_forecast import CapacityForecast, Flow
from brasstray.pool.durations import Durations
from brasstray.pool.forward_target import first_to_end
from brasstray.pool.placement import urgency
from brasstray.pool.pool_load import PoolLoad
from brasstray.pool.shortage import ShortagePlan


@dataclass
class Host:
    name: str


A, B = Host("a"), Host("b")


def job(priority=0, requester=A, **changes):
    return step(priority=priority, requester=requester, **changes)


def plan_for(steps, free_in, shares=None):
    """Return a plan that has seen `steps` with slots that become free at `free_in`."""
    shares = shares or CallerShares()
    for one in steps:
        shares.record_demand(one, one.estimate, len(one.waiting), NOW)
    plan = ShortagePlan(Durations(1.0), shares)
    plan.detect(steps, CapacityForecast(list(free_in)), NOW)
    return plan


def test_without_a_shortage_the_order_is_by_urgency():
    # Guards against priorities that act although everything can be on time.
    steps = [job(0, due=900), job(2, B, due=200), job(1, due=500)]
    plan = plan_for(steps, [0.0])
    expected = sorted(steps, key=lambda s: urgency(s, s.estimate, NOW))
    assert not plan.active(NOW)
    assert plan.order(steps, NOW) == expected


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (job(0, due=900), job(1, due=200)),
        (job(1, due=900), job(2, due=200)),
        # A partial job has no answer.
        (job(2, begun=True), job(0)),
        # What is of little use goes last.
        (job(2), job(0, due=-900, useful_until=-10, begun=True)),
        # What was admitted is not overtaken by new jobs of its priority.
        (job(1, due=900, admitted=True), job(1, due=200)),
    ],
)
def test_order_in_a_shortage(first, second):
    steps = [second, first]
    plan = plan_for([*steps, job(3, B)], [5.0])
    assert plan.active(NOW)
    assert plan.order(steps, NOW) == [first, second]


def test_shortage_with_one_kind_and_caller_changes_nothing():
    plan = plan_for([job(), job()], [5.0])
    assert not plan.active(NOW)


def test_the_caller_for_whom_less_was_done_goes_first():
    shares = CallerShares()
    shares.record_start(job(requester=A), 3.0, NOW)
    pushing = [job(requester=A, due=100) for _ in range(5)]
    other = job(requester=B, due=300)
    plan = plan_for([*pushing, other], [5.0], shares)
    assert plan.order([*pushing, other], NOW)[0] is other


def test_the_lowest_kind_gets_its_floor():
    shares = CallerShares()
    shares.record_start(job(0), 100.0, NOW)
    steps = [job(0), job(2)]
    plan = plan_for(steps, [5.0], shares)
    assert plan.order(steps, NOW)[0] is steps[1]
    shares.record_start(job(2), 10.0, NOW)
    assert plan.order(steps, NOW)[0] is steps[0]


@pytest.mark.parametrize(
    ("free_in", "flows", "starts_in"),
    [
        ([0.0, 0.0], [], 0.0),
        ([0.1, 0.15], [], 0.15),
        # The second of two tasks waits for the first.
        ([0.1], [], 0.2),
        ([], [], inf),
        # By 0.1 s, a more urgent task will have been requested: it starts first.
        ([0.1], [Flow(0, 10.0, 0.1)], inf),
        ([0.1, 0.1], [Flow(0, 10.0, 0.05)], 0.15),
        ([0.1], [Flow(1, 10.0, 0.1)], 0.2),
    ],
)
def test_forecast(free_in, flows, starts_in):
    start, _ = CapacityForecast(free_in, flows).place(2, 0.1, priority=1)
    assert start == pytest.approx(starts_in)


@pytest.mark.parametrize(
    ("loads", "chosen"),
    [
        ({"x": PoolLoad(1), "y": PoolLoad(0, 5)}, "x"),
        ({"x": PoolLoad(0, 50), "y": PoolLoad(0, 40)}, "y"),
        # The wait of its priority counts, and what was sent since the report.
        ({"x": PoolLoad(0, 0, 0, (90, 10)), "y": PoolLoad(0, 0, 0, (80, 20))}, "x"),
        ({"x": PoolLoad(0, 0, 9, (10, 10)), "y": PoolLoad(0, 0, 0, (20, 20))}, "y"),
    ],
)
def test_work_goes_where_it_ends_first(loads, chosen):
    pools = {PoolId(name): load for name, load in loads.items()}
    found = first_to_end(pools, 1, ms(60), ms(5))
    assert found is not None
    assert found[0] == chosen


def test_no_pool_is_no_target():
    assert first_to_end({}, 0, ms(60), timedelta(0)) is None
