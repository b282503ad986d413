"""Ask the leader to decide which incarnation may start a job's tasks."""

from __future__ import annotations

from typing import Literal

from brasstray.journal.records import KeyBound
from brasstray.peer.message.peer_message import PeerMessage


class BindKey(PeerMessage):
    """Ask the leader to decide which incarnation may start a job's tasks."""

    kind: Literal["bind"] = "bind"
    wanted: KeyBound


__all__ = ["BindKey"]
