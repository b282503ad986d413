"""Fetch a newer configuration in parts from a host that has it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from brasstray.batch.ids import NO_CONFIG
from brasstray.peer.message.config_wanted import ConfigWanted

if TYPE_CHECKING:
    from collections.abc import Callable

    from brasstray.batch.ids import ConfigVersion
    from brasstray.clock.clock import Clock
    from brasstray.host.current_config import CurrentConfig
    from brasstray.host.host_events import HostEvents
    from brasstray.host.timing import HostTiming
    from brasstray.peer.message.config_part import ConfigPart


@dataclass(frozen=True)
class _Offer:
    """Hold the version that a host has, and how to request it."""

    host: str
    version: ConfigVersion
    send: Callable[[ConfigWanted], None]


class ConfigFetch:
    """Request one part at a time from one host at a time, and keep what was received.

    Guards against congestion that outlives its cause. If a text of hundreds of
    kilobytes is pushed with each heartbeat that names an older version, such texts
    saturate the links. Heartbeats queue behind them, both ends consider the link lost,
    and each new link starts the text again. The symptom is owners lost for silence, and
    pools that change owners repeatedly from a large change of configuration on. Here a
    host with an older version has one part in flight, plus one more for each 0.6 s
    without a reply; other hosts have none.

    With 36 hosts, links of 12.5 Mbit/s to the weaker ones, and 1,800 routes, pushing
    one change sent 98 texts of 330 KB between hosts, and cost a quarter of the answers
    of that second.
    """

    def __init__(
        self,
        config: CurrentConfig,
        clock: Clock,
        timing: HostTiming,
        events: HostEvents,
    ) -> None:
        self._config = config
        self._clock = clock
        self._timing = timing
        self._events = events
        self._offers: dict[str, _Offer] = {}
        self._offered = anyio.Event()
        self._partial_version = NO_CONFIG
        self._unreadable_version = NO_CONFIG
        self._partial_text = bytearray()
        self._part_received = anyio.Event()

    @property
    def _newest_known(self) -> ConfigVersion:
        """Return the newest version whose text need not be fetched."""
        return max(self._config.version, self._unreadable_version)

    def offer(
        self, host: str, version: ConfigVersion, send: Callable[[ConfigWanted], None]
    ) -> None:
        """Record that `host` has `version`; `send` sends it a request."""
        if version > self._newest_known:
            self._offers[host] = _Offer(host, version, send)
            self._offered.set()

    def receive_part(self, host: str, part: ConfigPart) -> None:
        """Add a part that `host` has sent, or discard it if it is not the next one."""
        if (
            part.version > max(self._partial_version, self._newest_known)
            and not part.offset
        ):
            self._partial_version = part.version
            self._partial_text.clear()
        if part.version != self._partial_version or part.offset != len(
            self._partial_text
        ):
            # A late reply to a request that was repeated in the meantime.
            self._events.config_unneeded(host, len(part.text))
            return
        self._partial_text += part.text
        self._part_received.set()
        if len(self._partial_text) >= part.size:
            self._adopt_received(host)

    async def run(self) -> None:
        """Fetch offered versions until cancelled."""
        while True:
            await self._offered.wait()
            self._offered = anyio.Event()
            if self._config.store_reachable:
                # The store notifies every host of a change within tens of milliseconds,
                # so wait for it before fetching the same text from another host.
                await self._clock.sleep(self._timing.config_fetch_delay)
            while (offer := self._newest_offer()) is not None:
                await self._fetch(offer)

    def _newest_offer(self) -> _Offer | None:
        """Return the offer of the newest version, if any needs to be fetched."""
        known = self._newest_known
        newer = [offer for offer in self._offers.values() if offer.version > known]
        if not newer:
            self._offers.clear()
        return max(newer, key=lambda offer: offer.version, default=None)

    async def _fetch(self, offer: _Offer) -> None:
        """Request parts until the version is in force or a reply times out."""
        wanted = max(offer.version, self._partial_version)
        self._events.config_wanted(offer.host, wanted, len(self._partial_text))
        while self._newest_known < wanted:
            offset = len(self._partial_text) if wanted == self._partial_version else 0
            self._part_received = anyio.Event()
            offer.send(ConfigWanted(version=wanted, offset=offset))
            with anyio.move_on_after(self._timing.config_part_timeout.total_seconds()):
                await self._part_received.wait()
            if not self._part_received.is_set():
                # Try other hosts; this one is retried after its next heartbeat.
                self._offers.pop(offer.host, None)
                self._events.config_not_told(
                    offer.host, wanted, len(self._partial_text)
                )
                return
            wanted = max(wanted, self._partial_version)
        self._discard_superseded()

    def _discard_superseded(self) -> None:
        """Discard a partial text if the store has delivered its version meanwhile."""
        if self._partial_text and self._partial_version <= self._newest_known:
            self._events.config_unneeded(
                "the store came first", len(self._partial_text)
            )
            self._partial_text.clear()
            self._partial_version = NO_CONFIG

    def _adopt_received(self, host: str) -> None:
        text = bytes(self._partial_text)
        self._partial_text.clear()
        version, self._partial_version = self._partial_version, NO_CONFIG
        if not self._config.adopt_text(text, host):
            # A text that cannot be parsed here would otherwise be fetched forever.
            self._unreadable_version = max(self._unreadable_version, version)


__all__ = ["ConfigFetch"]
