"""Track a minion's clock, and bound the expiry of its leases."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from brasstray.pool.lease_snapshot import LeaseSnapshot

if TYPE_CHECKING:
    from brasstray.pool.timing import PoolTiming

_MILLISECOND = timedelta(milliseconds=1)
# Minions may carry out an unanswered call up to 12 s late, for a lease of at most 1 s.
MAX_EFFECT_DELAY = timedelta(seconds=13)


class LeaseClock:
    """Track a minion's monotonic clock and the latest expiry of its leases.

    The minion read its clock some time between the sending of a call and the arrival of
    its response, and its clock may run slow. Elapsed time is therefore counted from the
    response, at the slowest rate.
    """

    def __init__(self, timing: PoolTiming) -> None:
        self._timing = timing
        self._clock_ms: int | None = None
        self._clock_read_at = timedelta()
        self._latest_until_ms = 0
        self._lease_requested = False
        self._unanswered: list[timedelta] = []
        self._extendable_until = timedelta()
        self._last_request_at = timedelta()

    @property
    def clock_known(self) -> bool:
        """Return whether the minion has answered a call."""
        return self._clock_ms is not None

    def next_incarnation(self) -> LeaseClock:
        """Return the clock of a later incarnation under the same id.

        It starts anew, as its leases do. Calls that had no response may extend leases
        there as well.
        """
        later = LeaseClock(self._timing)
        later._unanswered = list(self._unanswered)
        later._extendable_until = self._extendable_until
        later._last_request_at = self._last_request_at
        return later

    def record_clock(self, clock_ms: int, sent: timedelta, received: timedelta) -> None:
        """Record the minion's clock, `clock_ms`, from the response to a call.

        The call was sent at `sent`, and its response received at `received`.
        """
        if self._clock_ms is None:
            # The previous owner may have renewed leases that this owner has not seen.
            # Assume the longest one, or a task could run twice after a failover. The
            # previous owner is fenced by now and cannot renew any more.
            self._latest_until_ms = (
                clock_ms + self._timing.longest_lease // _MILLISECOND
            )
        self._clock_ms = clock_ms
        self._clock_read_at = received
        earlier = [at for at in self._unanswered if at < sent]
        if earlier:
            # The minion answered a later call, so these calls or their responses were
            # lost or delayed. A dead minion answers no later call.
            latest_effect = max(earlier) + MAX_EFFECT_DELAY
            self._extendable_until = max(self._extendable_until, latest_effect)
            self._unanswered = [at for at in self._unanswered if at >= sent]

    def record_unanswered(self, sent: timedelta) -> None:
        """Record an unanswered call, sent at `sent`, that may renew leases."""
        self._unanswered.append(sent)

    def may_be_extended(self, now: timedelta) -> bool:
        """Return whether a delayed call may still extend leases at `now`.

        The runs under those leases would outlive `time_to_expiry`, beside a second run
        of their tasks.
        """
        return now < self._extendable_until

    def next_lease_until(self, now: timedelta, limit: timedelta | None = None) -> int:
        """Return the end of the lease to request at `now`, on the minion's clock.

        The lease ends by `limit`, also if the minion's clock is slow. It is recorded as
        one that may be granted.
        """
        assert self._clock_ms is not None
        length = now - self._clock_read_at + self._timing.lease
        if limit is not None:
            slowest = 1 - self._timing.clock_rate_error
            length = min(length, (limit - self._clock_read_at) * slowest)
        until = self._clock_ms + length // _MILLISECOND
        self._latest_until_ms = max(self._latest_until_ms, until)
        self._lease_requested = True
        self._last_request_at = now
        return until

    def all_expired_at(self) -> timedelta:
        """Return when leases have expired, whichever incarnation granted them.

        A time on the clock of one is no bound on that of another, but none grants more
        than the longest lease from the arrival of a call. Calls that a later answer
        showed to be lost or delayed count until they can have no effect.
        """
        slowest = 1 - self._timing.clock_rate_error
        end = self._last_request_at + self._timing.longest_lease / slowest
        return max(end, self._extendable_until)

    def time_to_expiry(self, now: timedelta) -> timedelta:
        """Return the time until every lease has expired, whichever owner requested it.

        Until the minion has answered, a previous owner may still be renewing its
        leases.
        """
        if self._clock_ms is None:
            return self._timing.longest_lease
        return max(timedelta(0), self.latest_expiry - now)

    @property
    def latest_expiry(self) -> timedelta:
        """Return when every lease has expired on the slowest clock.

        The minion must have answered a call.
        """
        assert self._clock_ms is not None
        remaining = (self._latest_until_ms - self._clock_ms) * _MILLISECOND
        slowest = 1 - self._timing.clock_rate_error
        return self._clock_read_at + remaining / slowest

    def lease_snapshot(self, now: timedelta) -> LeaseSnapshot:
        """Return what is known of the leases at `now`."""
        if self._clock_ms is None:
            return LeaseSnapshot(self._lease_requested, None, None, timedelta(0))
        clock_age = now - self._clock_read_at
        return LeaseSnapshot(
            self._lease_requested, self._latest_until_ms, self._clock_ms, clock_age
        )


__all__ = ["LeaseClock"]
