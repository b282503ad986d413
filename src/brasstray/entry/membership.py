"""Know which entry hosts live and which leads the data centre's journal."""

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
    """Join the platform's lagging list with what peers say of themselves.

    Two hosts may believe in different members. Nothing that must hold depends on
    it: members are only guesses at whom to ask, and the journal settles the rest.
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
        """Return the latest term heard of."""
        return self._term

    @property
    def leader(self) -> IncarnationId | None:
        """Return the leader of the latest term heard of."""
        return self._leader

    @property
    def heartbeat_interval(self) -> timedelta:
        """Return how often two hosts exchange heartbeats; less often in a crowd."""
        slowdown = len(self.listed_in(self._config.data_centre)) / FULL_RATE_PEERS
        return self._config.timing.heartbeat * max(1.0, slowdown)

    @property
    def suspect_after(self) -> timedelta:
        """Return after how long a silence a host is taken for gone."""
        minimum = self._config.timing.suspect_after
        return max(minimum, MAX_MISSED_HEARTBEATS * self.heartbeat_interval)

    def listed_in(self, data_centre: DataCentreName) -> list[HostName]:
        """Return the listed entry hosts of `data_centre` but this one."""
        return [
            name
            for name, host in self._listed.items()
            if host.data_centre == data_centre and name != self._config.host
        ]

    def listing(self, host: HostName) -> ListedHost | None:
        """Return the platform's entry for `host`."""
        return self._listed.get(host)

    def update_hosts(self, listed: dict[HostName, ListedHost]) -> None:
        """Take over the platform's list of entry hosts."""
        self._listed = listed

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take note of a peer's heartbeat or of its reply to one."""
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
        """Believe the leader of the latest term."""
        if leader is None or term <= self._term:
            return
        if data_centre_of(leader) == self._config.data_centre:
            self._term, self._leader = term, leader
            self._leader_recorded_at = self._clock.monotonic()

    def clear_leader(self, incarnation: IncarnationId) -> None:
        """Forget that `incarnation` leads."""
        if self._leader == incarnation:
            self._leader = None

    def live(self) -> list[Member]:
        """Return the other hosts of this data centre heard of late, longest known."""
        limit = self.suspect_after
        return [m for m in self._members.values() if self._silence(m) <= limit]

    def is_leader_live(self) -> bool:
        """Tell whether the leader was heard of late, or time to hear it is left."""
        if self._leader == self._config.incarnation:
            return True
        limit = self.suspect_after
        if self._leader is not None and self.incarnation_silence(self._leader) <= limit:
            return True
        return self._clock.monotonic() - self._leader_recorded_at <= limit

    def hears_half(self) -> bool:
        """Tell whether at least half of the data centre's listed hosts are heard."""
        listed = self.listed_in(self._config.data_centre)
        return 2 * (len(self.live()) + 1) >= len(listed) + 1

    def incarnation_silence(self, incarnation: IncarnationId) -> timedelta:
        """Return for how long `incarnation` was not heard."""
        member = self._members.get(host_of(incarnation))
        if member is None or member.incarnation != incarnation:
            return self._clock.monotonic() - self._started
        return self._silence(member)

    def host_silence(self, host: HostName) -> timedelta:
        """Return for how long no incarnation on `host` was heard."""
        member = self._members.get(host)
        if member is None:
            return self._clock.monotonic() - self._started
        return self._silence(member)

    def incarnation_on(self, host: HostName) -> IncarnationId | None:
        """Return the incarnation that was last heard on `host`."""
        member = self._members.get(host)
        return member.incarnation if member is not None else None

    def is_replaced(self, incarnation: IncarnationId) -> bool:
        """Tell whether another incarnation speaks for the host of `incarnation`."""
        member = self._members.get(host_of(incarnation))
        return member is not None and member.incarnation != incarnation

    def _silence(self, member: Member) -> timedelta:
        return self._clock.monotonic() - member.last_heard


__all__ = ["Membership"]
