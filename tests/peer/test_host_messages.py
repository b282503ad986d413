"""Check the field names of messages between hosts on the wire."""

from __future__ import annotations

import cbor2
import pytest

from brasstray.batch.ids import BatchId, ConfigVersion, FencingToken
from brasstray.job.ids import IncarnationId
from brasstray.peer.message.pool_state import PoolState
from brasstray.peer.message.tasks_returned import TasksReturned
from brasstray.peer.pool_messages import decode_frame, encode_frame

STATE = PoolState(
    incarnation=IncarnationId("i"),
    pool=None,
    token=FencingToken(0),
    free_slots=3,
    wait_ms=0,
    ready=True,
    config_version=ConfigVersion(1),
)
RETURNED = TasksReturned(batch=BatchId("b"), step=0, indices=(0,), outcome_unknown=True)


@pytest.mark.parametrize(
    ("message", "name", "value"),
    [(STATE, "places", 3), (RETURNED, "in_doubt", True)],
    ids=["pool state", "tasks returned"],
)
def test_renamed_attributes_keep_their_field_names(message, name, value):
    """A renamed attribute must keep its field name in the encoded message.

    Otherwise a host of an older version would miss `in_doubt` and take a task that may
    have run for one that has not.
    """
    frame = encode_frame([message])
    assert decode_frame(frame) == [message]
    [[encoded]] = cbor2.loads(frame)
    assert encoded[name] == value
