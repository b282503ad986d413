"""Describe a minion as it lists itself in the store."""

from __future__ import annotations

from dataclasses import dataclass, field

# Imported also at run time: messages between hosts carry entries, and check them.
from brasstray.batch.resources import Resources
from brasstray.job.ids import DataCentreName, MinionId, ServiceName


@dataclass(frozen=True)
class MinionEntry:
    """Hold one incarnation of a minion; `id` changes when it restarts.

    `cold_left_ms` is how much longer it is slow after its start. It goes down all the
    time, so that entries that differ in it alone count as equal: nobody needs to be
    told of that.
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


__all__ = ["MinionEntry"]
