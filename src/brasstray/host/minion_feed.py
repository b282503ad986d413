"""Keep the owner of a pool and its possible successors informed of its minions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from brasstray.batch.limits import is_possible
from brasstray.peer.message.pool_minions import PoolMinions
from brasstray.store.errors import StoreUnavailableError

if TYPE_CHECKING:
    from brasstray.clock.clock import Clock
    from brasstray.host.current_config import CurrentConfig
    from brasstray.host.host_events import HostEvents
    from brasstray.host.operator_source import MinionList
    from brasstray.host.requester_link import RequesterLink
    from brasstray.host.requester_links import RequesterLinks
    from brasstray.host.timing import HostTiming
    from brasstray.job.ids import DataCentreName
    from brasstray.pool.minion_entry import MinionEntry
    from brasstray.pool.owner import PoolOwner


class MinionFeed:
    """Poll the list of minions for an owner, and keep the last owner's minions."""

    def __init__(
        self,
        data_centre: DataCentreName,
        minion_list: MinionList,
        config: CurrentConfig,
        links: RequesterLinks,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
    ) -> None:
        self._data_centre = data_centre
        self._list = minion_list
        self._config = config
        self._links = links
        self._clock = clock
        self._timing = timing
        self._events = events
        self._last_known_minions: tuple[MinionEntry, ...] | None = None

    @property
    def last_known_minions(self) -> tuple[MinionEntry, ...] | None:
        """Return the minions that the pool's last owner held; None if unknown."""
        return self._last_known_minions

    def record_minions(self, minions: tuple[MinionEntry, ...]) -> None:
        """Record the minions that another host holds as the owner of the pool.

        Those with a capacity that no machine has are left out.
        """
        self._last_known_minions = tuple(m for m in minions if is_possible(m.capacity))

    def send_minions(self, link: RequesterLink) -> None:
        """Send the minions of the pool to a host that may take the pool over."""
        if (
            link.data_centre == self._data_centre
            and self._last_known_minions is not None
        ):
            link.send(PoolMinions(minions=self._last_known_minions))

    async def poll(self, owner: PoolOwner) -> None:
        """Poll the list for `owner` until cancelled."""
        while True:
            try:
                listed = await self._list.minions(self._data_centre)
                owner.update_minions(self._filter_known_services(listed))
                self._publish_changes(owner)
                self._events.store_back("minions")
            except StoreUnavailableError as error:
                self._events.store_lost("minions", str(error))
            await self._clock.sleep(self._timing.pool.list_interval)

    def _filter_known_services(self, listed: list[MinionEntry]) -> list[MinionEntry]:
        """Leave out minions of services that the configuration does not name."""
        config = self._config.current
        if config is None:
            return listed
        known = []
        for entry in listed:
            if config.has_service(entry.service):
                known.append(entry)
            else:
                self._events.entry_ignored(entry.id, f"service {entry.service!r}")
        return known

    def _publish_changes(self, owner: PoolOwner) -> None:
        held = tuple(minion.entry for minion in owner.minions)
        if held != self._last_known_minions:
            self._last_known_minions = held
            self._links.send_to_data_centre(PoolMinions(minions=held))


__all__ = ["MinionFeed"]
