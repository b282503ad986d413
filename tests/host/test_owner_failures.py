"""Force the smallest series of failing owners in which a resent task ran twice."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest
from tests.host.owner_failures import Series, draw, play

# Set this variable to draw more series by hand, or run the harness as a program:
#   python -m tests.host.owner_failures draw FIRST_SEED COUNT
DRAWN_SEEDS = range(int(os.environ.get("OWNER_FAILURES_SEEDS", "8")))

# For each way the smallest order that failed, then the next smaller one, which held.
ORDERS = {
    "three killed": (
        Series((180, 180)),
        Series((170, 170)),
    ),
    "four killed": (
        Series((20, 20, 20)),
        Series((10, 10, 10)),
    ),
    "two killed, idle minion out of reach of the second successor": (
        Series((365,), unreached=1, idle_unreached=True),
        Series((360,), unreached=1, idle_unreached=True),
    ),
    "two killed, first stops lost": (
        Series((440,), lost_stops=1),
        Series((430,), lost_stops=1),
    ),
    "one killed, five stops lost": (
        Series(lost_stops=5),
        Series(lost_stops=4),
    ),
    "killed, then suspended": (
        Series((310,), first_failure="killed", failure="suspended"),
        Series((300,), first_failure="killed", failure="suspended"),
    ),
    "killed, then isolated": (
        Series((310,), first_failure="killed", failure="isolated"),
        Series((300,), first_failure="killed", failure="isolated"),
    ),
    "killed, then cut off, idle minion out of reach": (
        Series(
            (10,),
            first_failure="killed",
            failure="cut off",
            unreached=0,
            idle_unreached=True,
        ),
        Series((10,), first_failure="killed", failure="cut off"),
    ),
    "three isolated": (
        Series((10, 10), failure="isolated"),
        Series((10,), failure="isolated"),
    ),
    "three suspended for 700 ms": (
        Series((10, 10), failure="suspended", suspended_ms=700),
        Series((10,), failure="suspended", suspended_ms=700),
    ),
    "three suspended": (
        Series((410, 410), failure="suspended"),
        Series((400, 400), failure="suspended"),
    ),
    "caller's host killed, then two owners": (
        Series((20,), caller="peer", caller_first_ms=590),
        Series((10,), caller="peer", caller_first_ms=590),
    ),
    "caller's host killed, then the owner suspended": (
        Series(
            caller="peer",
            first_failure="killed",
            failure="suspended",
            caller_first_ms=430,
        ),
        Series(
            caller="peer",
            first_failure="killed",
            failure="suspended",
            caller_first_ms=420,
        ),
    ),
    "caller's host killed, then the owner, idle minion out of reach": (
        Series(caller="peer", caller_first_ms=490, unreached=0, idle_unreached=True),
        Series(caller="peer", caller_first_ms=480, unreached=0, idle_unreached=True),
    ),
    "caller's host killed, then the owner, first stops lost": (
        Series(caller="peer", caller_first_ms=570, lost_stops=1),
        Series(caller="peer", caller_first_ms=560, lost_stops=1),
    ),
    "sent again in the same data centre while its pool is vacant": (
        Series((430, 430), resend="same"),
        Series((420, 420), resend="same"),
    ),
    "sent again to the same pool, whose owner cannot reach the minion": (
        Series((210, 210), resend="same", unreached=2),
        Series((200, 200), resend="same", unreached=2),
    ),
}


def to_id(way):
    """Return an id without spaces, as KNOWN-RED.txt names tests."""
    return way.replace(",", "").replace(" ", "-").replace("'", "")


def second_runs(series):
    played = play(series)
    for at, text in played.events:
        if at > -1:
            print(f"{at:8.1f} {text}")
    return played.broken


@pytest.mark.parametrize("neighbour", ["nothing", "run"])
@pytest.mark.parametrize("way", ORDERS, ids=to_id)
def test_orphaned_runs_end_before_the_job_is_sent_again(way, neighbour):
    """No order of failing owners lets a run outlive the resend of its job.

    A run of a living caller on the same minion has its leases renewed in any case.
    """
    failing, _ = ORDERS[way]
    assert second_runs(replace(failing, neighbour=neighbour)) == []


@pytest.mark.parametrize("way", ORDERS, ids=to_id)
def test_a_smaller_series_runs_no_task_twice(way):
    """The orders just below hold, so that the others are the smallest."""
    _, smaller = ORDERS[way]
    assert second_runs(smaller) == []


@pytest.mark.parametrize("tenure_ms", [500, 700, 1_000])
@pytest.mark.parametrize("owners", [2, 3, 4, 5])
def test_owners_that_stop_the_orphans_run_no_task_twice(owners, tenure_ms):
    """An owner that lives for half a second has stopped the orphaned runs."""
    assert second_runs(Series((tenure_ms,) * (owners - 1))) == []


@pytest.mark.parametrize("seed", DRAWN_SEEDS)
def test_drawn_series_runs_no_task_twice(seed):
    """No drawn series of failing owners runs a task twice."""
    assert second_runs(draw(seed)) == []
