"""Ask the owner of a pool to run tasks."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.job.ids import ServiceName
from brasstray.peer.message.host_message import HostMessage


class RunTasks(HostMessage, frozen=True, kw_only=True, tag="run_tasks"):
    """Ask the owner of a pool to run some tasks of one step of a job.

    `due_ms`, `useful_ms` and `limit_ms` count from the sending: when the job's
    objective ends, until when a late answer is of some use, and when its caller leaves.
    `claimed` says that an owner of this pool was asked before, so that the tasks may
    run already; `forwarded` that another pool had no room, and `begun` that a task of
    the job may have been sent to a minion before.
    """

    batch: BatchId
    step: int
    indices: tuple[int, ...]
    width: int
    queue: str
    service: ServiceName
    spec: str
    cpu_millis: int
    memory_mb: int
    gpus: int
    estimate_ms: int
    due_ms: int
    useful_ms: int
    limit_ms: int
    priority: int
    attempts: int
    rack: str = ""
    label: str = ""
    max_per_minion: int = 0
    forwarded: bool = False
    claimed: bool = False
    begun: bool = False


__all__ = ["RunTasks"]
