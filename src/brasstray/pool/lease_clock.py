"""Bound what a minion's clock shows, from what it showed last."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.lease_reckoning import LeaseReckoning

if TYPE_CHECKING:
    from brasstray.pool.timing import PoolTiming

_MILLISECOND = timedelta(milliseconds=1)
# The platform's minions carry out orders that had no answer up to 12 s late, and grant
# at most 1 s each: after this an order changes nothing any more.
LATEST_EFFECT = timedelta(seconds=13)


class LeaseClock:
    """Reckon one minion's steady clock and the latest lease it may hold.

    The clock was read somewhere between a call's sending and its response, and may run
    slow. So time counts from the response at the slowest rate: a lease has ended for
    sure only when that has passed it.
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
        """Tell whether the minion has answered a call."""
        return self._shown_ms is not None

    def show(self, clock_ms: int, sent: timedelta, received: timedelta) -> None:
        """Note that the response to a call, received at `received`, showed `clock_ms`.

        `sent` is when the call was sent.
        """
        if self._shown_ms is None:
            # Guards against a second run beside one that an earlier owner started: it
            # lives under a lease that this owner knows nothing of, and was started
            # elsewhere some 0.1 s after the pool had changed hands. With the response
            # the minion has seen our token, so that no earlier owner extends a lease
            # any more, and none that it gave can be longer than what minions grant.
            self._latest_until_ms = (
                clock_ms + self._timing.longest_lease // _MILLISECOND
            )
        self._shown_ms = clock_ms
        self._shown_at = received
        if self._unanswered_at is not None and sent > self._unanswered_at:
            # The minion lived after that order, so it is the order or its answer that
            # was lost or held up. Where the minion has died, no answer follows.
            self._late_until = self._unanswered_at + LATEST_EFFECT
            self._unanswered_at = None

    def miss(self, sent: timedelta) -> None:
        """Note that an order sent at `sent`, which may extend leases, had no answer."""
        self._unanswered_at = sent

    def may_be_extended(self, now: timedelta) -> bool:
        """Tell whether an order that is held up may still extend leases at `now`.

        Guards against one that comes after the minion has gone out of reach: its runs
        would go on after `expiry_wait`, while their tasks are at work elsewhere.
        """
        return now < self._late_until

    def next_until(self, now: timedelta) -> int:
        """Return the lease to ask for at `now`, and note that it may be granted."""
        assert self._shown_ms is not None
        passed = (now - self._shown_at + self._timing.lease) // _MILLISECOND
        until = self._shown_ms + passed
        self._latest_until_ms = max(self._latest_until_ms, until)
        self._asked = True
        return until

    def expiry_wait(self, now: timedelta) -> timedelta:
        """Return how long until every lease has ended for sure, whoever asked for it.

        Before the minion has answered that cannot be told: earlier owners may go on
        extending its leases.
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
