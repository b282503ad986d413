"""Ask the leader what is committed about a job, and to fence a suspect."""

from __future__ import annotations

from datetime import datetime
from typing import Literal

from brasstray.job.ids import IncarnationId
from brasstray.job.job_id import JobId
from brasstray.peer.message.peer_message import PeerMessage


class LookUp(PeerMessage):
    """Ask the leader what is committed about a job, and to fence a suspect.

    `suspect` says that the executor doesn't reply to the sender; the leader fences it
    if it also considers it gone.
    """

    kind: Literal["look_up"] = "look_up"
    job: JobId
    expires: datetime
    executor: IncarnationId | None = None
    suspect: bool = False


__all__ = ["LookUp"]
