"""Return the answer to a forwarded submission, fetch or cancellation."""

from __future__ import annotations

from typing import Literal

from brasstray.job.answer import Answer
from brasstray.peer.message.peer_message import PeerMessage


class AnswerReply(PeerMessage):
    """Return the answer to a forwarded submission, fetch or cancellation."""

    kind: Literal["answer"] = "answer"
    answer: Answer


__all__ = ["AnswerReply"]
