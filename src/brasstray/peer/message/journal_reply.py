"""Return what the journal has recorded about a job."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.records import JobAnswered, KeyBound
from brasstray.peer.message.peer_message import PeerMessage


class JournalReply(PeerMessage):
    """Return what the journal has recorded about a job."""

    kind: Literal["journal"] = "journal"
    bound: KeyBound | None = None
    answered: JobAnswered | None = None
    fenced: bool = False
    in_doubt: bool = False
    forgotten: bool = False


__all__ = ["JournalReply"]
