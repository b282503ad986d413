"""Define the configuration of an entry host."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from brasstray.dispatch.policies import ShortestRemainingFirst, SlotCredits
from brasstray.entry.timing import EntryTiming

if TYPE_CHECKING:
    from brasstray.dispatch.policies import OrderPolicy, SlotPolicy
    from brasstray.entry.service import Service
    from brasstray.job.ids import DataCentreName, HostName, IncarnationId, ServiceName


@dataclass(frozen=True)
class EntryConfig:
    """Configure an entry host's identity, services, limits and policies."""

    data_centre: DataCentreName
    host: HostName
    incarnation: IncarnationId
    data_centres: tuple[DataCentreName, ...]
    services: dict[ServiceName, Service]
    max_jobs: int = 2_000
    slots: SlotPolicy = field(default_factory=SlotCredits)
    order: OrderPolicy = field(default_factory=ShortestRemainingFirst)
    timing: EntryTiming = field(default_factory=EntryTiming)


__all__ = ["EntryConfig"]
