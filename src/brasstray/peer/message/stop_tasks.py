"""Ask a pool owner to stop the tasks of a job."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.peer.message.host_message import HostMessage


class StopTasks(HostMessage, frozen=True, kw_only=True, tag="stop_tasks"):
    """Ask a pool owner to stop the running tasks of a job and to start no more."""

    batch: BatchId


__all__ = ["StopTasks"]
