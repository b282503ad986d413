"""Define and encode the messages between coordinators and pool owners."""

from __future__ import annotations

import cbor2
import msgspec

from brasstray.peer.errors import UnreadableMessageError
from brasstray.peer.message.config_part import ConfigPart
from brasstray.peer.message.config_wanted import ConfigWanted
from brasstray.peer.message.hello import Hello
from brasstray.peer.message.ping import Ping
from brasstray.peer.message.pool_minions import PoolMinions
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message.successors import Successors
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned

PoolMessage = (
    Hello
    | Ping
    | ConfigPart
    | ConfigWanted
    | PoolState
    | PoolMinions
    | RunTasks
    | StopTasks
    | Successors
    | TasksEnded
    | TasksReturned
)
# Types that cbor2 encodes natively, so that msgspec need not convert them.
_NATIVE_TYPES = (bytes,)


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    # msgspec analyses the types of a Struct once, but those of a plain list in every
    # call.
    messages: list[PoolMessage]


def encode_frame(messages: list[PoolMessage]) -> bytes:
    """Encode `messages` as one CBOR frame, omitting fields with default values."""
    return cbor2.dumps([msgspec.to_builtins(messages, builtin_types=_NATIVE_TYPES)])


def decode_frame(data: bytes) -> list[PoolMessage]:
    """Decode a frame; raise UnreadableMessageError if `data` is malformed."""
    try:
        return msgspec.convert(cbor2.loads(data), type=_Frame).messages
    except (cbor2.CBORDecodeError, msgspec.ValidationError, RecursionError) as error:
        raise UnreadableMessageError(str(error)) from error


__all__ = ["PoolMessage", "decode_frame", "encode_frame"]
