"""Bound a minion's monotonic clock and the expiry of its leases."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.lease_reckoning import LeaseReckoning

if TYPE_CHECKING:
    from brasstray.pool.timing import PoolTiming

_MILLISECOND = timedelta(milliseconds=1)
# Minions may carry out an unanswered order up to 12 s late, for a lease of at most 1 s.
MAX_EFFECT_DELAY = timedelta(seconds=13)


class LeaseClock:
    """Track a minion's monotonic clock and the latest expiry of its leases.

    The clock was read between a call's sending and its response, and may run slow. So
    time counts from the response at the slowest rate.
    """

    def __init__(self, timing: PoolTiming) -> None:
        self._timing = timing
        self._shown_ms: int | None = None
        self._shown_at = timedelta()
        self._latest_until_ms = 0
        self._asked = False
        self._unanswered_at: timedelta | None = None
        self._late_until = timedelta()

    @property
    def shown(self) -> bool:
        """Return whether the minion has answered a call."""
        return self._shown_ms is not None

    def show(self, clock_ms: int, sent: timedelta, received: timedelta) -> None:
        """Record that the response to a call showed `clock_ms`.

        The call was sent at `sent` and its response received at `received`.
        """
        if self._shown_ms is None:
            # The previous owner may have renewed leases this owner has not seen. Assume
            # the longest one, or a task could run twice after a failover. That owner is
            # fenced by now and renews none any more.
            self._latest_until_ms = (
                clock_ms + self._timing.longest_lease // _MILLISECOND
            )
        self._shown_ms = clock_ms
        self._shown_at = received
        if self._unanswered_at is not None and sent > self._unanswered_at:
            # The minion answered a later call, so the order or its response was lost
            # or held up. A minion that has died answers none.
            self._late_until = self._unanswered_at + MAX_EFFECT_DELAY
            self._unanswered_at = None

    def miss(self, sent: timedelta) -> None:
        """Record an unanswered order, sent at `sent`, that may renew leases."""
        self._unanswered_at = sent

    def may_be_extended(self, now: timedelta) -> bool:
        """Return whether a late order may still extend leases at `now`.

        Its runs would outlive `expiry_wait`, beside a second run of their tasks.
        """
        return now < self._late_until

    def next_until(self, now: timedelta) -> int:
        """Return the lease to ask for at `now`, and record that it may be granted."""
        assert self._shown_ms is not None
        passed = (now - self._shown_at + self._timing.lease) // _MILLISECOND
        until = self._shown_ms + passed
        self._latest_until_ms = max(self._latest_until_ms, until)
        self._asked = True
        return until

    def expiry_wait(self, now: timedelta) -> timedelta:
        """Return how long until every lease has expired, whichever owner asked for it.

        Until the minion has answered, a previous owner may go on renewing its leases.
        """
        if self._shown_ms is None:
            return self._timing.longest_lease
        left = (self._latest_until_ms - self._shown_ms) * _MILLISECOND
        slowest = 1 - self._timing.clock_rate_error
        return max(timedelta(0), left / slowest - (now - self._shown_at))

    def reckoning(self, now: timedelta) -> LeaseReckoning:
        """Return what is known of the leases at `now`."""
        if self._shown_ms is None:
            return LeaseReckoning(self._asked, None, None, timedelta(0))
        ago = now - self._shown_at
        return LeaseReckoning(self._asked, self._latest_until_ms, self._shown_ms, ago)


__all__ = ["LeaseClock"]
