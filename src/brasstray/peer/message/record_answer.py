"""Ask the leader to commit an answer before it is sent to the caller."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.records import JobAnswered
from brasstray.peer.message.peer_message import PeerMessage


class RecordAnswer(PeerMessage):
    """Ask the leader to commit an answer before it is sent to the caller."""

    kind: Literal["record_answer"] = "record_answer"
    wanted: JobAnswered


__all__ = ["RecordAnswer"]
