"""Define the sources of operators' entries and of lists of minions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from datetime import timedelta

    from brasstray.batch.configuration import Configuration
    from brasstray.job.ids import DataCentreName
    from brasstray.pool.minion_entry import MinionEntry


class UnreadableConfigError(Exception):
    """Report a configuration that cannot be parsed; the last one stays in force."""


@dataclass(frozen=True)
class OperatorEntries:
    """Hold entries that operators wrote, and the store version that they reflect.

    After a read, `evacuated` holds all evacuated data centres; after a watch, only
    those evacuated since, and `resumed` those resumed since. `unreadable` is the reason
    why a new configuration could not be parsed.
    """

    configuration: Configuration | None
    as_of: int
    evacuated: frozenset[DataCentreName] = frozenset()
    resumed: frozenset[DataCentreName] = frozenset()
    unreadable: str | None = None


class OperatorSource(Protocol):
    """Read entries that operators write; every method may raise a StoreError."""

    async def read(self) -> OperatorEntries:
        """Return all entries."""

    async def watch(self, after: int, wait: timedelta) -> OperatorEntries:
        """Return the next changes after version `after`, or none after `wait`."""

    def parse(self, text: bytes) -> Configuration:
        """Return the configuration in `text`; raise UnreadableConfigError."""


class MinionList(Protocol):
    """Read the list of minions; may raise a StoreError."""

    async def minions(self, data_centre: DataCentreName) -> list[MinionEntry]:
        """Return the minions listed in `data_centre`, of all services."""


__all__ = ["MinionList", "OperatorEntries", "OperatorSource", "UnreadableConfigError"]
