"""Check where the task of a silent coordinator may start."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace

import pytest
from tests.pool.test_placement import minion

from brasstray.pool.lease_clock import LeaseClock
from brasstray.pool.start_limit import StartLimit
from brasstray.pool.timing import PoolTiming

NOW = timedelta(seconds=10)


def ms(count):
    return timedelta(milliseconds=count)


def allowed_minions(contact_age_ms, leases):
    """Return the names of the minions on which a task may start at `NOW`."""
    minions = {name: minion(name) for name in leases}
    roster = SimpleNamespace(
        session=lambda name: SimpleNamespace(leases_end=leases[name].latest_expiry)
    )
    requester = SimpleNamespace(last_contact=NOW - ms(contact_age_ms))
    limit = StartLimit(roster, PoolTiming())
    step = SimpleNamespace(requester=requester)
    return [m.entry.id for m in limit.allowed(step, list(minions.values()), NOW)]


def renewed_lease(renewed_ms, read_ms=0, limit=None):
    """Return a lease requested `renewed_ms` ago, on a clock read `read_ms` earlier."""
    lease = LeaseClock(PoolTiming())
    renewed = NOW - ms(renewed_ms)
    # The lease of an earlier owner is over by then.
    lease.record_clock(1_000, renewed - ms(read_ms + 5_000), renewed - ms(5_000))
    lease.record_clock(6_000, renewed - ms(read_ms + 1), renewed - ms(read_ms))
    lease.next_lease_until(renewed, limit)
    return lease


@pytest.mark.parametrize("contact_age_ms", [0, 150, 300, 350, 400, 415])
@pytest.mark.parametrize("renewed_ms", [0, 20, 200, 400])
@pytest.mark.parametrize("read_ms", [0, 400])
def test_coordinator_in_contact_starts_tasks_anywhere(
    contact_age_ms, renewed_ms, read_ms
):
    """Leases that were just renewed hold back no task of a living coordinator."""
    leases = {"m": renewed_lease(renewed_ms, read_ms)}
    assert allowed_minions(contact_age_ms, leases) == ["m"]


@pytest.mark.parametrize(
    ("contact_age_ms", "renewed_ms", "allowed"),
    [
        # On the slowest clock, a lease of 800 ms lasts 816.3 ms.
        (423, 0, True),
        (424, 0, False),
        (440, 17, True),
        (440, 16, False),
        (550, 127, True),
        (550, 126, False),
        (600, 177, True),
        (600, 0, False),
    ],
)
def test_leases_must_end_within_the_orphan_lifetime(
    contact_age_ms, renewed_ms, allowed
):
    """A run does not inherit a lease that outlasts the lifetime of its coordinator."""
    leases = {"m": renewed_lease(renewed_ms)}
    assert allowed_minions(contact_age_ms, leases) == ["m"] * allowed


def test_other_minions_are_left():
    """A minion whose leases another run of the coordinator limits is still used."""
    limit = NOW - ms(550) + PoolTiming().orphan_lifetime
    leases = {"long": renewed_lease(0), "limited": renewed_lease(0, limit=limit)}
    assert allowed_minions(550, leases) == ["limited"]


@pytest.mark.parametrize(("answered_ms", "allowed"), [(400, True), (200, False)])
def test_lease_of_an_earlier_owner_counts(answered_ms, allowed):
    """The longest lease that an earlier owner may have requested is assumed."""
    lease = LeaseClock(PoolTiming())
    answered = NOW - ms(answered_ms)
    lease.record_clock(1_000, answered, answered)
    assert allowed_minions(550, {"m": lease}) == ["m"] * allowed
