"""Make a message between entry hosts immutable."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict


class PeerMessage(BaseModel):
    """Make a message between entry hosts immutable."""

    model_config = ConfigDict(frozen=True)


__all__ = ["PeerMessage"]
