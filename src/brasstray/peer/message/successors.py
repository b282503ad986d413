"""Announce the successors of a pool owner to the hosts of its data centre."""

from __future__ import annotations

from typing import Any

from brasstray.batch.ids import NO_TOKEN, FencingToken
from brasstray.job.ids import HostName
from brasstray.peer.message.host_message import HostMessage


class Successors(HostMessage, frozen=True, kw_only=True, tag="successors"):
    """List the hosts that take over the pool if its owner is lost, in this order.

    `learned` is what the owner with `token` has learned since its last report, in the
    encoding of pool/learned_encoding.py. It is not typed here, as an invalid value must
    not close the connection.
    """

    hosts: tuple[HostName, ...]
    learned: Any = None
    token: FencingToken = NO_TOKEN


__all__ = ["Successors"]
