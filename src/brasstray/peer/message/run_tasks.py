"""Ask a pool owner to run tasks."""

from __future__ import annotations

from brasstray.batch.ids import BatchId
from brasstray.job.ids import ServiceName
from brasstray.peer.message.host_message import HostMessage


class RunTasks(HostMessage, frozen=True, kw_only=True, tag="run_tasks"):
    """Ask a pool owner to run some tasks of one step of a job.

    Three times are given in ms from the moment of sending: `due_ms`, the end of the
    job's objective; `useful_ms`, until when a late answer has some value; `limit_ms`,
    when the caller gives up. `claimed` says that an owner of this pool was asked
    before, so that the tasks may already be running; `forwarded`, that another pool had
    no free capacity; `begun`, that a task of the job may already have been sent to a
    minion. `done_ms` is the recent work of all pools for this host at `priority`, in
    core milliseconds; it decays with `SHARE_PERIOD`.
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
    done_ms: int = 0


__all__ = ["RunTasks"]
