"""Describe a minion as it lists itself in the store."""

from __future__ import annotations

from dataclasses import dataclass

# Imported also at run time: messages between hosts carry entries, and check them.
from brasstray.batch.resources import Resources
from brasstray.job.ids import DataCentreName, MinionId, ServiceName


@dataclass(frozen=True)
class MinionEntry:
    """Hold one incarnation of a minion; `id` changes when it restarts."""

    id: MinionId
    service: ServiceName
    data_centre: DataCentreName
    host: str
    port: int
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool


__all__ = ["MinionEntry"]
