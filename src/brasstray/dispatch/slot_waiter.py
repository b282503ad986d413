"""Describe a job that waits for a slot."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import anyio

if TYPE_CHECKING:
    from brasstray.dispatch.minion_load import MinionLoad
    from brasstray.job.ids import ServiceName


class WaitingJob(Protocol):
    """Provide what the order policies and the slot selection need to know of a job."""

    @property
    def service(self) -> ServiceName:
        """Return the service whose minions can run the job's tasks."""

    @property
    def sequence_number(self) -> int:
        """Return the job's position in the order of acceptance on this host."""

    @property
    def weight(self) -> float:
        """Return the scheduling weight; weight two ranks a job as if half as long."""

    @property
    def unfinished(self) -> int:
        """Return how many tasks have no result yet."""

    @property
    def unsent(self) -> int:
        """Return how many tasks are queued for sending."""


@dataclass
class SlotWaiter:
    """Hold a waiting job and, once `assigned` is set, the minion of its slot."""

    job: WaitingJob
    load: MinionLoad | None = None
    assigned: anyio.Event = field(default_factory=anyio.Event)


__all__ = ["SlotWaiter", "WaitingJob"]
