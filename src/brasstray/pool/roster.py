"""Keep the minions of a pool, from the store's list and the previous owner."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from brasstray.pool.incarnation import Incarnation, SeenIn, classify_entry
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

    `open_session` starts one, and `on_removed` is called for each minion removed. A
    minion that has started again under its id gets a new session, and `on_restarted` is
    called with the minions before and after, before either session does anything more.
    """

    def __init__(
        self,
        clock: Clock,
        timing: PoolTiming,
        open_session: Callable[[Minion, MinionSession | None], MinionSession],
        on_removed: Callable[[Minion], None],
        on_restarted: Callable[[Minion, Minion, SeenIn], None],
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._open_session = open_session
        self._on_removed = on_removed
        self._on_restarted = on_restarted
        self._sessions: dict[MinionId, MinionSession] = {}
        self._missing_since: dict[MinionId, timedelta] = {}
        self._former: dict[MinionId, set[int | None]] = {}

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
                self._update_entry(session, entry, now)
            self._missing_since.pop(minion_id, None)
        for minion_id in [known for known in self._sessions if known not in listed]:
            since = self._missing_since.setdefault(minion_id, now)
            # Entries of live minions may expire while the store is unavailable, and are
            # back soon after it is.
            if now - since > self._timing.missing_grace:
                self._remove(minion_id, now)

    def restart(self, minion: Minion, born: int) -> None:
        """Replace `minion`, as a later incarnation has replied in its place.

        Its own entry is not known yet.
        """
        entry = replace(minion.entry, born=born, draining=False)
        session = self._sessions.get(entry.id)
        if session is not None and session.minion is minion:
            self._replace(session, entry, SeenIn.REPLY)

    def _update_entry(
        self, session: MinionSession, entry: MinionEntry, now: timedelta
    ) -> None:
        known = session.minion.entry.born
        match classify_entry(known, entry.born, self._former.get(entry.id, ())):
            case Incarnation.SAME:
                session.minion.update_entry(entry, now)
            case Incarnation.UNKNOWN:
                session.minion.update_entry(replace(entry, born=known), now)
            case Incarnation.LATER:
                self._replace(session, entry, SeenIn.ENTRY)
            case Incarnation.EARLIER if self._is_abandoned(session, now):
                # No reply can show that its clock was set back if its address changed.
                self._replace(session, entry, SeenIn.ENTRY)
            case Incarnation.EARLIER:
                # The list lags behind what the minion has replied.
                return

    def _is_abandoned(self, session: MinionSession, now: timedelta) -> bool:
        minion = session.minion
        return (
            minion.reach is Reachability.UNREACHABLE
            and not minion.runs
            and not session.may_start_late(now)
        )

    def _replace(
        self, session: MinionSession, entry: MinionEntry, seen_in: SeenIn
    ) -> None:
        former = self._former.setdefault(entry.id, set())
        former.add(session.minion.entry.born)
        former.discard(entry.born)
        minion = Minion(entry)
        minion.update_entry(entry, self._clock.monotonic())
        if seen_in is SeenIn.REPLY:
            minion.await_entry()
        session.replace()
        self._on_restarted(session.minion, minion, seen_in)
        self._sessions[entry.id] = self._open_session(minion, session)

    def _add(self, entry: MinionEntry) -> None:
        minion = Minion(entry)
        minion.update_entry(entry, self._clock.monotonic())
        self._sessions[entry.id] = self._open_session(minion, None)

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
        self._former.pop(minion_id, None)


__all__ = ["Roster"]
