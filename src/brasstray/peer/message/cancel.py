"""Ask the executor of a job to start no more of its tasks."""

from __future__ import annotations

from typing import Literal

from brasstray.job.job_id import JobId
from brasstray.peer.message.peer_message import PeerMessage


class Cancel(PeerMessage):
    """Ask the executor of a job to start no more of its tasks."""

    kind: Literal["cancel"] = "cancel"
    job: JobId
    hops: int


__all__ = ["Cancel"]
