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
# What a host receives at most in one frame.
MAX_FRAME_BYTES = 8 * 1024 * 1024
# The receiver handles a frame without a break, so frames with several messages are
# smaller.
FULL_FRAME_BYTES = 256 * 1024
FULL_FRAME_MESSAGES = 200
# The steps of a job have its payload in common, so a frame with many of them refers to
# one copy. Shorter frames gain little by references.
MIN_MESSAGES_WITH_REFERENCES = 16
# Types that cbor2 encodes natively, so that msgspec need not convert them.
_NATIVE_TYPES = (bytes,)


class _Frame(msgspec.Struct, frozen=True, array_like=True):
    # msgspec analyses the types of a Struct once, but those of a plain list in every
    # call.
    messages: list[PoolMessage]


def encode_frame(messages: list[PoolMessage]) -> bytes:
    """Encode `messages` as one CBOR frame, omitting fields with default values."""
    return cbor2.dumps(
        [msgspec.to_builtins(messages, builtin_types=_NATIVE_TYPES)],
        string_referencing=len(messages) >= MIN_MESSAGES_WITH_REFERENCES,
    )


def encode_frames(
    messages: list[PoolMessage],
) -> tuple[list[bytes], list[PoolMessage]]:
    """Encode `messages` in order, as frames of bounded size.

    Also return the messages that are left out, as no host receives a frame that large.
    """
    frames: list[bytes] = []
    oversized: list[PoolMessage] = []
    parts = [
        messages[start : start + FULL_FRAME_MESSAGES]
        for start in range(0, len(messages), FULL_FRAME_MESSAGES)
    ][::-1]
    while parts:
        part = parts.pop()
        frame = encode_frame(part)
        if len(frame) > FULL_FRAME_BYTES and len(part) > 1:
            middle = len(part) // 2
            parts += [part[middle:], part[:middle]]
        elif len(frame) > MAX_FRAME_BYTES:
            oversized += part
        else:
            frames.append(frame)
    return frames, oversized


def decode_frame(data: bytes) -> list[PoolMessage]:
    """Decode a frame; raise UnreadableMessageError if `data` is malformed."""
    try:
        return msgspec.convert(cbor2.loads(data), type=_Frame).messages
    except (cbor2.CBORDecodeError, msgspec.ValidationError, RecursionError) as error:
        raise UnreadableMessageError(str(error)) from error


__all__ = [
    "FULL_FRAME_BYTES",
    "FULL_FRAME_MESSAGES",
    "MAX_FRAME_BYTES",
    "PoolMessage",
    "decode_frame",
    "encode_frame",
    "encode_frames",
]
