"""Join the kinds of messages between hosts that run jobs and owners of pools."""

from __future__ import annotations

from typing import Annotated

import cbor2
from pydantic import Field, TypeAdapter, ValidationError

from brasstray.peer.errors import UnreadableMessageError
from brasstray.peer.message.config_text import ConfigText
from brasstray.peer.message.hello import Hello
from brasstray.peer.message.ping import Ping
from brasstray.peer.message.pool_minions import PoolMinions
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.message.tasks_ended import TasksEnded
from brasstray.peer.message.tasks_returned import TasksReturned

PoolMessage = Annotated[
    Hello
    | Ping
    | ConfigText
    | PoolState
    | PoolMinions
    | RunTasks
    | StopTasks
    | TasksEnded
    | TasksReturned,
    Field(discriminator="kind"),
]
_FRAME: TypeAdapter[list[PoolMessage]] = TypeAdapter(list[PoolMessage])


def encode_frame(messages: list[PoolMessage]) -> bytes:
    """Return `messages` as one CBOR frame; defaults are left out."""
    return cbor2.dumps(
        [{"kind": m.kind, **m.model_dump(exclude_defaults=True)} for m in messages]
    )


def decode_frame(data: bytes) -> list[PoolMessage]:
    """Return the messages in `data`; raise UnreadableMessageError if it has none."""
    try:
        return _FRAME.validate_python(cbor2.loads(data))
    except (cbor2.CBORDecodeError, ValidationError) as error:
        raise UnreadableMessageError(str(error)) from error


__all__ = ["PoolMessage", "decode_frame", "encode_frame"]
