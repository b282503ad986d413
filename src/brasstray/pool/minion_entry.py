"""Describe a minion as it registers itself in the store."""

from __future__ import annotations

from dataclasses import dataclass, field

# Imported at run time as well: messages between hosts carry entries and validate them.
from brasstray.batch.resources import Resources
from brasstray.job.ids import DataCentreName, MinionId, MinionKey, ServiceName


@dataclass(frozen=True)
class MinionEntry:
    """Hold the entry of one incarnation of a minion.

    `born` is the Unix time in ms at which it started. A restarted minion may keep its
    id, but `born` changes. None means that the platform does not report it; the id then
    changes with each restart.

    `cold_left_ms` is how much longer the minion is slow after its start. It decreases
    all the time, so it is left out of comparisons: an entry that differs in it alone
    need not be sent to anyone.
    """

    id: MinionId
    service: ServiceName
    data_centre: DataCentreName
    host: str
    port: int
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    cold_left_ms: int = field(default=0, compare=False)
    born: int | None = None

    @property
    def key(self) -> MinionKey:
        """Return the key that distinguishes this incarnation from any other."""
        return MinionKey(self.id if self.born is None else f"{self.id}@{self.born}")


__all__ = ["MinionEntry"]
