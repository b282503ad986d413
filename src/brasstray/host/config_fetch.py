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
    ask: Callable[[ConfigWanted], None]


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
        self._version = NO_CONFIG
        self._unreadable = NO_CONFIG
        self._text = bytearray()
        self._came = anyio.Event()

    @property
    def _known(self) -> ConfigVersion:
        """Return the newest version whose text need not be fetched."""
        return max(self._config.version, self._unreadable)

    def offer(
        self, host: str, version: ConfigVersion, ask: Callable[[ConfigWanted], None]
    ) -> None:
        """Record that `host` has `version`; `ask` sends it a request."""
        if version > self._known:
            self._offers[host] = _Offer(host, version, ask)
            self._offered.set()

    def take(self, host: str, part: ConfigPart) -> None:
        """Add a part that `host` has sent, or discard it if it is not the next one."""
        if part.version > max(self._version, self._known) and not part.offset:
            self._version = part.version
            self._text.clear()
        if part.version != self._version or part.offset != len(self._text):
            # A late reply to a request that was repeated in the meantime.
            self._events.config_unneeded(host, len(part.text))
            return
        self._text += part.text
        self._came.set()
        if len(self._text) >= part.size:
            self._put_in_force(host)

    async def run(self) -> None:
        """Fetch offered versions until cancelled."""
        while True:
            await self._offered.wait()
            self._offered = anyio.Event()
            if self._config.in_touch:
                # The store notifies every host of a change within tens of milliseconds,
                # so wait for it before fetching the same text from another host.
                await self._clock.sleep(self._timing.config_head_start)
            while (offer := self._best()) is not None:
                await self._fetch(offer)

    def _best(self) -> _Offer | None:
        """Return the offer of the newest version, if any needs to be fetched."""
        known = self._known
        newer = [offer for offer in self._offers.values() if offer.version > known]
        if not newer:
            self._offers.clear()
        return max(newer, key=lambda offer: offer.version, default=None)

    async def _fetch(self, offer: _Offer) -> None:
        """Request parts until the version is in force or a reply times out."""
        wanted = max(offer.version, self._version)
        self._events.config_wanted(offer.host, wanted, len(self._text))
        while self._known < wanted:
            offset = len(self._text) if wanted == self._version else 0
            self._came = anyio.Event()
            offer.ask(ConfigWanted(version=wanted, offset=offset))
            with anyio.move_on_after(self._timing.config_part.total_seconds()):
                await self._came.wait()
            if not self._came.is_set():
                # Try other hosts; this one is retried after its next heartbeat.
                self._offers.pop(offer.host, None)
                self._events.config_not_told(offer.host, wanted, len(self._text))
                return
            wanted = max(wanted, self._version)
        self._forget_known()

    def _forget_known(self) -> None:
        """Discard a partial text if the store has delivered its version meanwhile."""
        if self._text and self._version <= self._known:
            self._events.config_unneeded("the store came first", len(self._text))
            self._text.clear()
            self._version = NO_CONFIG

    def _put_in_force(self, host: str) -> None:
        text = bytes(self._text)
        self._text.clear()
        version, self._version = self._version, NO_CONFIG
        if not self._config.adopt_text(text, host):
            # A text that cannot be parsed here would otherwise be fetched forever.
            self._unreadable = max(self._unreadable, version)


__all__ = ["ConfigFetch"]
