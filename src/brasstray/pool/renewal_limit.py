"""Limit the leases on a minion by the last contact with its runs' coordinators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.pool.minion import Minion
    from brasstray.pool.owner_events import OwnerEvents
    from brasstray.pool.timing import PoolTiming


class RenewalLimit:
    """Decide whether, and until when, the leases on a minion may be renewed.

    A lease extends every run on the minion. If the coordinator of one of them has died,
    its caller may submit the job to another data centre, so the leases must expire
    within the orphan lifetime unless that run is stopped.
    """

    def __init__(self, minion: Minion, timing: PoolTiming, events: OwnerEvents) -> None:
        self._minion = minion
        self._timing = timing
        self._events = events
        self._withheld = False

    @property
    def until(self) -> timedelta | None:
        """Return when all leases must have expired, None if the minion has no runs."""
        if not self._minion.runs:
            return None
        return self._minion.oldest_contact + self._timing.orphan_lifetime

    def is_binding(self, now: timedelta) -> bool:
        """Return whether a lease requested at `now` is shorter than usual."""
        until = self.until
        return until is not None and until < now + self._timing.lease

    def may_renew(self, now: timedelta) -> bool:
        """Return whether any lease may be requested at `now`; record a change to no."""
        until = self.until
        withheld = until is not None and now >= until
        if withheld and not self._withheld:
            contact_age = now - self._minion.oldest_contact
            self._events.renewal_withheld(self._minion, contact_age)
        self._withheld = withheld
        return not withheld


__all__ = ["RenewalLimit"]
