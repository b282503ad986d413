"""Define who is told what a host comes to believe, for logs and counters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from brasstray.batch.evacuation_set import EvacuationSet
    from brasstray.batch.ids import ConfigVersion, FencingToken, PoolId
    from brasstray.batch.outcome import GiveUpReason
    from brasstray.job.ids import HostName


class HostEvents(Protocol):
    """Receive changes; never blocks."""

    def config_adopted(self, version: ConfigVersion, source: str) -> None:
        """A newer configuration is in force here."""

    def config_wanted(self, host: str, version: ConfigVersion, known: int) -> None:
        """A host that has a newer configuration is asked for it.

        `known` is how many bytes of its text are here already.
        """

    def config_not_told(self, host: str, version: ConfigVersion, known: int) -> None:
        """That host has sent no further part in time."""

    def config_told(self, host: str, version: ConfigVersion, size: int) -> None:
        """A host has been sent the last of the `size` bytes of a configuration."""

    def config_unneeded(self, source: str, size: int) -> None:
        """Text of `size` bytes was received that is of no use."""

    def config_unreadable(self, source: str, why: str) -> None:
        """A configuration was not understood; the last one stays in force."""

    def evacuations_changed(self, found: EvacuationSet, source: str) -> None:
        """Another set of data centres gets nothing new."""

    def request_refused(self, job: str, reason: GiveUpReason, detail: str) -> None:
        """A request was refused before anything was done for it."""

    def entry_ignored(self, name: str, why: str) -> None:
        """An entry of the store is another writer's, and without effect."""

    def history_lost(self, what: str) -> None:
        """The store has dropped its history; everything is read again."""

    def store_lost(self, what: str, why: str) -> None:
        """The store gave no answer for `what`; told once until it is back."""

    def store_back(self, what: str) -> None:
        """The store answers for `what` again."""

    def pool_taken(self, pool: PoolId, token: FencingToken, why: str) -> None:
        """This host owns a pool."""

    def pool_moving(self, pool: PoolId, to: HostName) -> None:
        """This host asks a stronger one to take the pool."""

    def pool_left(self, pool: PoolId, token: FencingToken, why: str) -> None:
        """This host owns a pool no more."""

    def pool_claim_failed(self, pool: PoolId, why: str) -> None:
        """Another host took the pool first, or the store gave no answer."""

    def link_up(self, pool: PoolId, host: str) -> None:
        """The owner of a pool is reachable."""

    def link_down(self, pool: PoolId, host: str, why: str) -> None:
        """The owner of a pool is unreachable."""

    def requester_up(self, host: str) -> None:
        """A host has opened a link to this one."""

    def requester_lost(self, host: str, why: str) -> None:
        """A host that asked for tasks is unreachable."""

    def loop_late(self, milliseconds: int) -> None:
        """This process came to a timer late, as it had too much to do."""

    def suspended(self, milliseconds: int) -> None:
        """This process was suspended and no longer trusts what it knew."""

    def draining(self) -> None:
        """This host finishes what it has and leaves."""


__all__ = ["HostEvents"]
