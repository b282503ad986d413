"""Forward a submission to its executor, or to a host that knows the executor."""

from __future__ import annotations

from typing import Literal

from brasstray.job.job_id import JobId
from brasstray.job.request import JobRequest
from brasstray.peer.message.peer_message import PeerMessage


class Submit(PeerMessage):
    """Forward a submission to its executor, or to a host that knows the executor."""

    kind: Literal["submit"] = "submit"
    job: JobId
    request: JobRequest
    wait_ms: int
    hops: int


__all__ = ["Submit"]
