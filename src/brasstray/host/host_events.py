"""Define the events of a host that are logged and counted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.evacuation_set import EvacuationSet
    from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
    from brasstray.batch.outcome import GiveUpReason
    from brasstray.job.ids import HostName


class HostEvents(Protocol):
    """Receive the events of a host; no method may block."""

    def config_adopted(self, version: ConfigVersion, source: str) -> None:
        """Record that a newer configuration is in force."""

    def config_wanted(self, host: str, version: ConfigVersion, known: int) -> None:
        """Record that a newer configuration is requested from a host.

        `known` is the number of bytes of its text that were received already.
        """

    def config_not_told(self, host: str, version: ConfigVersion, known: int) -> None:
        """Record that the host sent no further part before the timeout."""

    def config_told(self, host: str, version: ConfigVersion, size: int) -> None:
        """Record that the last part of a text of `size` bytes was sent to a host."""

    def config_unneeded(self, source: str, size: int) -> None:
        """Record that `size` bytes of text were received and discarded."""

    def config_unreadable(self, source: str, reason: str) -> None:
        """Record that a configuration cannot be parsed; the last one stays in force."""

    def evacuations_changed(self, evacuations: EvacuationSet, source: str) -> None:
        """Record that the set of evacuated data centres has changed."""

    def request_refused(self, job: str, reason: GiveUpReason, detail: str) -> None:
        """Record that a request was refused before any task of it was queued."""

    def entry_ignored(self, name: str, reason: str) -> None:
        """Record that an invalid entry of the store is ignored."""

    def history_lost(self, name: str) -> None:
        """Record that the store has discarded its history and is read in full."""

    def store_lost(self, name: str, reason: str) -> None:
        """Record a failed request for `name` to the store; log it once per outage."""

    def store_back(self, name: str) -> None:
        """Record that the store answers requests for `name` again."""

    def pool_taken(
        self,
        pool: PoolId,
        token: FencingToken,
        reason: str,
        contact_age: timedelta | None,
    ) -> None:
        """Record that this host owns a pool.

        `contact_age` is the age of the oldest last contact between a previous owner and
        the coordinator of a run, None if unknown.
        """

    def pool_moving(self, pool: PoolId, to: HostName) -> None:
        """Record that a host with more power is asked to take the pool."""

    def pool_left(self, pool: PoolId, token: FencingToken, reason: str) -> None:
        """Record that this host no longer owns a pool."""

    def pool_claim_failed(self, pool: PoolId, reason: str) -> None:
        """Record that another host was faster, or that the store gave no answer."""

    def owner_reached(self, pool: PoolId, host: str) -> None:
        """Record that the owner of a pool is reachable."""

    def owner_lost(self, pool: PoolId, host: str, reason: str) -> None:
        """Record that the owner of a pool is unreachable."""

    def values_adopted(self, source: str, count: int, oldest_age: timedelta) -> None:
        """Record that the owner here uses values that another one has learned."""

    def values_ignored(self, source: str, count: int, reason: str) -> None:
        """Record that values reported by a host are not used."""

    def requester_reached(self, host: str) -> None:
        """Record that a host has opened a link to this one."""

    def requester_lost(self, host: str, reason: str) -> None:
        """Record that a host that requested tasks is unreachable."""

    def message_oversized(self, host: str, kind: str) -> None:
        """Record that a message for a host is too large to be sent, and dropped."""

    def loop_late(self, milliseconds: int) -> None:
        """Record that the event loop of this process lagged by too much."""

    def suspended(self, milliseconds: int) -> None:
        """Record that this process was suspended and discards what it knew."""

    def draining(self) -> None:
        """Record that this host is draining: it finishes its jobs and leaves."""


__all__ = ["HostEvents"]
