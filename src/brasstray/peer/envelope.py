"""Define the envelope of a call or reply between two entry hosts."""

from __future__ import annotations

from enum import Enum

import cbor2
from pydantic import BaseModel, ConfigDict

from brasstray.job.ids import IncarnationId
from brasstray.peer.messages import Message


class EnvelopeKind(Enum):
    """Distinguish calls, replies and calls rejected without being handled."""

    CALL = "call"
    REPLY = "reply"
    REFUSED_UNREAD = "refused unread"


class Envelope(BaseModel):
    """Hold a message, its sender and receiver, and the number of its call."""

    model_config = ConfigDict(frozen=True)

    kind: EnvelopeKind
    number: int
    sender: IncarnationId
    receiver: IncarnationId | None = None
    message: Message | None = None

    def encode(self) -> bytes:
        """Return the envelope encoded as CBOR."""
        return cbor2.dumps(self.model_dump(mode="json"))

    @classmethod
    def decode(cls, data: bytes) -> Envelope:
        """Decode an envelope from CBOR; raise ValueError if `data` is malformed."""
        try:
            return cls.model_validate(cbor2.loads(data))
        except cbor2.CBORDecodeError as error:
            raise ValueError(str(error)) from error


__all__ = ["Envelope", "EnvelopeKind"]
