"""Track which entry hosts are live and which one leads the journal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.entry.member import Member
from brasstray.job.incarnation import data_centre_of, host_of

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.clock.clock import Clock
    from brasstray.entry.config import EntryConfig
    from brasstray.job.ids import DataCentreName, HostName, IncarnationId
    from brasstray.peer.messages import Heartbeat
    from brasstray.store.listed_host import ListedHost


FULL_RATE_PEERS = 4
MAX_MISSED_HEARTBEATS = 3


class Membership:
    """Combine the platform's list, which lags, with the heartbeats of peers.

    Hosts may disagree on the members. Safety does not depend on them: they only tell
    which host to contact first, and the journal decides.
    """

    def __init__(self, config: EntryConfig, clock: Clock) -> None:
        self._config = config
        self._clock = clock
        self._started = clock.monotonic()
        self._members: dict[HostName, Member] = {}
        self._listed: dict[HostName, ListedHost] = {}
        self._term = 0
        self._leader_recorded_at = self._started
        self._leader: IncarnationId | None = None

    @property
    def term(self) -> int:
        """Return the latest known term."""
        return self._term

    @property
    def leader(self) -> IncarnationId | None:
        """Return the leader of the latest known term, or None if it has ended."""
        return self._leader

    @property
    def heartbeat_interval(self) -> timedelta:
        """Return the interval of heartbeats between two hosts.

        It grows with the number of peers beyond FULL_RATE_PEERS.
        """
        slowdown = len(self.listed_in(self._config.data_centre)) / FULL_RATE_PEERS
        return self._config.timing.heartbeat * max(1.0, slowdown)

    @property
    def suspect_after(self) -> timedelta:
        """Return the length of silence after which a host is suspected."""
        minimum = self._config.timing.suspect_after
        return max(minimum, MAX_MISSED_HEARTBEATS * self.heartbeat_interval)

    def listed_in(self, data_centre: DataCentreName) -> list[HostName]:
        """Return the listed entry hosts of `data_centre` except this one."""
        return [
            name
            for name, host in self._listed.items()
            if host.data_centre == data_centre and name != self._config.host
        ]

    def listed_host(self, host: HostName) -> ListedHost | None:
        """Return the platform's list entry for `host`, or None."""
        return self._listed.get(host)

    def update_hosts(self, listed: dict[HostName, ListedHost]) -> None:
        """Replace the list of entry hosts by the platform's current one."""
        self._listed = listed

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record a peer's heartbeat or its reply to one."""
        self.record_leader(heartbeat.term, heartbeat.leader)
        host = host_of(heartbeat.sender)
        self._members[host] = Member(
            host,
            heartbeat.sender,
            self._clock.monotonic(),
            heartbeat.draining,
            heartbeat.table_version,
            heartbeat.held,
            heartbeat.holdings,
        )

    def record_leader(self, term: int, leader: IncarnationId | None) -> None:
        """Record the leader of `term` if the term is later than the known one."""
        if leader is None or term <= self._term:
            return
        if data_centre_of(leader) == self._config.data_centre:
            self._term, self._leader = term, leader
            self._leader_recorded_at = self._clock.monotonic()

    def clear_leader(self, incarnation: IncarnationId) -> None:
        """Clear the leader if it is `incarnation`."""
        if self._leader == incarnation:
            self._leader = None

    def live(self) -> list[Member]:
        """Return the other hosts of this data centre that are not suspected.

        Those known for longest come first.
        """
        limit = self.suspect_after
        return [m for m in self._members.values() if self._silence(m) <= limit]

    def is_leader_live(self) -> bool:
        """Return whether the leader is not suspected, or it is too early to tell."""
        if self._leader == self._config.incarnation:
            return True
        limit = self.suspect_after
        if self._leader is not None and self.incarnation_silence(self._leader) <= limit:
            return True
        return self._clock.monotonic() - self._leader_recorded_at <= limit

    def hears_half(self) -> bool:
        """Return whether at least half of the listed hosts, with this one, are live."""
        listed = self.listed_in(self._config.data_centre)
        return 2 * (len(self.live()) + 1) >= len(listed) + 1

    def incarnation_silence(self, incarnation: IncarnationId) -> timedelta:
        """Return the time since the last heartbeat of `incarnation`."""
        member = self._members.get(host_of(incarnation))
        if member is None or member.incarnation != incarnation:
            return self._clock.monotonic() - self._started
        return self._silence(member)

    def host_silence(self, host: HostName) -> timedelta:
        """Return the time since the last heartbeat of any incarnation on `host`."""
        member = self._members.get(host)
        if member is None:
            return self._clock.monotonic() - self._started
        return self._silence(member)

    def incarnation_on(self, host: HostName) -> IncarnationId | None:
        """Return the incarnation on `host` that last sent a heartbeat."""
        member = self._members.get(host)
        return member.incarnation if member is not None else None

    def is_replaced(self, incarnation: IncarnationId) -> bool:
        """Return whether a different incarnation runs on the host of `incarnation`."""
        member = self._members.get(host_of(incarnation))
        return member is not None and member.incarnation != incarnation

    def _silence(self, member: Member) -> timedelta:
        return self._clock.monotonic() - member.last_heard


__all__ = ["Membership"]
