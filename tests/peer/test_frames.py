"""Check the size of frames between hosts, and what cannot be sent."""

from __future__ import annotations

from random import Random

import cbor2
import pytest
from msgspec.structs import replace

from brasstray.batch.ids import BatchId, ConfigVersion
from brasstray.peer.message.config_part import ConfigPart
from brasstray.peer.message.run_tasks import RunTasks
from brasstray.peer.message.stop_tasks import StopTasks
from brasstray.peer.pool_messages import (
    FULL_FRAME_BYTES,
    FULL_FRAME_MESSAGES,
    MAX_FRAME_BYTES,
    decode_frame,
    encode_frames,
)

DRAWS = 40
REQUEST = RunTasks(
    batch=BatchId("a" * 16),
    step=0,
    indices=(0,),
    width=1,
    queue="q",
    service="s",
    spec="",
    cpu_millis=100,
    memory_mb=0,
    gpus=0,
    estimate_ms=50,
    due_ms=150,
    useful_ms=450,
    limit_ms=1_500,
    priority=0,
    attempts=3,
)


def steps_of_a_job(count, spec_size):
    spec = "x" * spec_size
    return [replace(REQUEST, step=step, spec=spec) for step in range(count)]


def draw_messages(random):
    """Return messages of drawn kinds and sizes, a few of them larger than a frame."""
    messages = []
    for number in range(random.choice([1, 20, 300, 1_000])):
        size = random.choice([0, 10, 200, 4_000, random.randrange(FULL_FRAME_BYTES)])
        if not random.randrange(150):
            size = random.choice([1, 2]) * FULL_FRAME_BYTES
        match random.randrange(3):
            case 0:
                text = random.randbytes(size)
                messages.append(
                    ConfigPart(version=ConfigVersion(1), offset=0, size=size, text=text)
                )
            case 1:
                messages.append(replace(REQUEST, step=number, spec="y" * size))
            case _:
                messages.append(StopTasks(batch=BatchId(f"{number:016x}")))
    return messages


# Guards against a job of many steps that takes down hosts and their links: its requests
# exceeded what the receiver accepts as one frame.
@pytest.mark.parametrize("spec_size", [0, 300, 4_000])
@pytest.mark.parametrize("count", [20, 2_000, 4_000, 13_000])
def test_the_steps_of_one_job_fit_into_small_frames(count, spec_size):
    messages = steps_of_a_job(count, spec_size)
    frames, oversized = encode_frames(messages)
    assert oversized == []
    assert [m for frame in frames for m in decode_frame(frame)] == messages
    assert max(map(len, frames)) <= FULL_FRAME_BYTES
    # The payload is sent once a frame, not once a step.
    assert sum(map(len, frames)) <= count * 200 + (len(frames) + 20) * spec_size


@pytest.mark.parametrize("seed", range(DRAWS))
def test_frames_of_any_messages_are_bounded_and_in_order(seed):
    messages = draw_messages(Random(seed))
    frames, oversized = encode_frames(messages)
    assert oversized == []
    received = [decode_frame(frame) for frame in frames]
    assert [m for part in received for m in part] == messages
    for frame, part in zip(frames, received, strict=True):
        assert len(frame) <= FULL_FRAME_BYTES or len(part) == 1
        assert len(part) <= FULL_FRAME_MESSAGES


@pytest.mark.parametrize("place", [0, 1, 150, 399])
def test_a_message_that_fits_no_frame_is_left_out_alone(place):
    messages = steps_of_a_job(400, 100)
    messages[place] = replace(messages[place], spec="z" * MAX_FRAME_BYTES)
    frames, oversized = encode_frames(messages)
    assert oversized == [messages[place]]
    rest = messages[:place] + messages[place + 1 :]
    assert [m for frame in frames for m in decode_frame(frame)] == rest


def test_frames_with_references_are_plain_cbor():
    # Hosts of earlier versions decode them as well.
    [frame], _ = encode_frames(steps_of_a_job(100, 4_000))
    [maps] = cbor2.loads(frame)
    assert [each["step"] for each in maps] == list(range(100))
    assert {each["spec"] for each in maps} == {"x" * 4_000}
