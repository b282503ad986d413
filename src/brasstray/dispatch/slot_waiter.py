"""Hold a job's wait for its next slot."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import anyio

if TYPE_CHECKING:
    from brasstray.dispatch.minion_load import MinionLoad
    from brasstray.job.ids import ServiceName


class WaitingJob(Protocol):
    """Tell what the order of jobs depends on."""

    @property
    def service(self) -> ServiceName:
        """Return the service whose minions can run the job's tasks."""

    @property
    def sequence_number(self) -> int:
        """Return the job's place in the order of acceptance."""

    @property
    def weight(self) -> float:
        """Return how much the job counts; one of weight two goes as if half as long."""

    @property
    def unfinished(self) -> int:
        """Return how many tasks have no result yet."""

    @property
    def unsent(self) -> int:
        """Return how many tasks wait to be sent."""


@dataclass
class SlotWaiter:
    """Hold a waiting job, and its slot's minion once it has one."""

    job: WaitingJob
    load: MinionLoad | None = None
    assigned: anyio.Event = field(default_factory=anyio.Event)


__all__ = ["SlotWaiter", "WaitingJob"]
