"""Define where the operators' entries and lists of minions come from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.configuration import Configuration
    from brasstray.job.ids import DataCentreName
    from brasstray.pool.minion_entry import MinionEntry


class UnreadableConfigError(Exception):
    """A configuration could not be understood; the last one stays in force."""


@dataclass(frozen=True)
class OperatorEntries:
    """Hold what operators wrote, and the store's version that it was seen at.

    A read tells every data centre that is `evacuated`, a wait those that came since and
    those `resumed` since. `unreadable` says why a new configuration was not understood.
    """

    configuration: Configuration | None
    as_of: int
    evacuated: frozenset[DataCentreName] = frozenset()
    resumed: frozenset[DataCentreName] = frozenset()
    unreadable: str | None = None


class OperatorSource(Protocol):
    """Read what operators write; every method may raise a StoreError."""

    async def read(self) -> OperatorEntries:
        """Return everything."""

    async def wait(self, after: int, wait: timedelta) -> OperatorEntries:
        """Return the next changes after a version, or none after `wait`."""

    def parse(self, text: bytes) -> Configuration:
        """Return the configuration in `text`; raise UnreadableConfigError."""


class MinionList(Protocol):
    """Read the list of minions; may raise a StoreError."""

    async def minions(self, data_centre: DataCentreName) -> list[MinionEntry]:
        """Return the minions listed in `data_centre`, of all services."""


__all__ = ["MinionList", "OperatorEntries", "OperatorSource", "UnreadableConfigError"]
