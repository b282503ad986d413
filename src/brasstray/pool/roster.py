"""Keep the minions of a pool, from the store's list and the previous owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.pool.minion import Minion, Reachability

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.job.ids import MinionId
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.minion_session import MinionSession
    from brasstray.pool.timing import PoolTiming


class Roster:
    """Hold a session for each known minion.

    `open_session` starts one, and `on_removed` is called for each minion removed.
    """

    def __init__(
        self,
        clock: Clock,
        timing: PoolTiming,
        open_session: Callable[[Minion], MinionSession],
        on_removed: Callable[[Minion], None],
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._open_session = open_session
        self._on_removed = on_removed
        self._sessions: dict[MinionId, MinionSession] = {}
        self._missing_since: dict[MinionId, timedelta] = {}

    @property
    def minions(self) -> list[Minion]:
        """Return the known minions."""
        return [session.minion for session in self._sessions.values()]

    @property
    def sessions(self) -> list[MinionSession]:
        """Return the sessions of the known minions."""
        return list(self._sessions.values())

    def session(self, minion: MinionId) -> MinionSession:
        """Return the session of a known minion."""
        return self._sessions[minion]

    def inherit(self, entries: Iterable[MinionEntry]) -> None:
        """Add the minions that the previous owner had.

        The store entries of live minions may have expired, as after a partition. If
        they were left out, their runs would be started again elsewhere.
        """
        now = self._clock.monotonic()
        for entry in entries:
            self._add(entry)
            self._missing_since[entry.id] = now

    def update(self, entries: Iterable[MinionEntry]) -> None:
        """Update the minions from the store's list."""
        listed = {entry.id: entry for entry in entries}
        now = self._clock.monotonic()
        for minion_id, entry in listed.items():
            session = self._sessions.get(minion_id)
            if session is None:
                self._add(entry)
            else:
                session.minion.update_entry(entry, now)
            self._missing_since.pop(minion_id, None)
        for minion_id in [known for known in self._sessions if known not in listed]:
            since = self._missing_since.setdefault(minion_id, now)
            # Entries of live minions may expire while the store is unavailable, and are
            # back soon after it is.
            if now - since > self._timing.missing_grace:
                self._remove(minion_id, now)

    def _add(self, entry: MinionEntry) -> None:
        minion = Minion(entry)
        minion.update_entry(entry, self._clock.monotonic())
        self._sessions[entry.id] = self._open_session(minion)

    def _remove(self, minion_id: MinionId, now: timedelta) -> None:
        session = self._sessions[minion_id]
        if session.minion.reach is not Reachability.GONE:
            # A reachable minion is alive, whether it is listed or not. An unreachable
            # one has no runs left once its leases have expired.
            if session.minion.runs:
                return
            # This session rejects late starts when the minion is back. A new one would
            # not know of them, and its first lease renewal would let them run.
            if session.may_start_late(now):
                return
        self._on_removed(session.minion)
        session.close()
        del self._sessions[minion_id]
        del self._missing_since[minion_id]


__all__ = ["Roster"]
