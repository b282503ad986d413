"""Track how long ago coordinators were last in contact with the owner of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.clock.bounded import bounded_ms

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from brasstray.peer.message.pool_state import PoolState


class CoordinatorContact:
    """Keep the oldest last contact of all runs in a pool, as its owners report it.

    Without it, each new owner would count the time of orphaned runs from its own
    takeover, and they would go on for as long as owners fail in a row. The contact of
    every later run is more recent, whichever host owns the pool by then. `uptime` is a
    clock that advances while this host is suspended.
    """

    def __init__(self, uptime: Callable[[], timedelta]) -> None:
        self._uptime = uptime
        self._last_contact: timedelta | None = None

    @property
    def age(self) -> timedelta | None:
        """Return the greatest possible age of a last contact, None if unknown."""
        if self._last_contact is None:
            return None
        return self._uptime() - self._last_contact

    def record_state(self, state: PoolState) -> None:
        """Record the report of an owner, counted from the heartbeat it acknowledges.

        The report itself may have been delayed on the way. The owner received the
        heartbeat and the contact on the same clock, so a contact that came after the
        heartbeat counts as more recent.
        """
        if state.contact_age_ms is not None and state.acknowledged_ms is not None:
            created_ms = state.acknowledged_ms + state.acknowledged_age_ms
            contact_ms = created_ms - state.contact_age_ms
            last_contact = bounded_ms(contact_ms)
            if self._last_contact is None or last_contact > self._last_contact:
                self._last_contact = last_contact

    def reset(self) -> None:
        """Forget the reports, as an owner may have sent them after it was replaced."""
        self._last_contact = None


__all__ = ["CoordinatorContact"]
