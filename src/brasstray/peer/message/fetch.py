"""Request the answer to a job."""

from __future__ import annotations

from typing import Literal

from brasstray.job.job_id import JobId
from brasstray.peer.message.peer_message import PeerMessage


class Fetch(PeerMessage):
    """Request the answer to a job."""

    kind: Literal["fetch"] = "fetch"
    job: JobId
    wait_ms: int
    hops: int


__all__ = ["Fetch"]
