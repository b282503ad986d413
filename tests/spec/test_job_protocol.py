"""Check the job protocol's model and that each broken variant is refuted."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from spec.job_protocol import INVARIANTS, model
from spec.variant import Variant

MAX_STATES = 1_000_000
BROKEN = {
    Variant.LATE_COPY_ACCEPTED: "no_second_start",
    Variant.REPLICAS_NOT_READ: "no_second_start",
    Variant.ONE_NOTIFICATION_ENOUGH: "no_second_start",
    Variant.DOUBT_IGNORED: "no_second_start",
    Variant.REPORTED_BEFORE_COMMIT: "no_two_answers",
    Variant.FENCE_REPORTED_EARLY: "record_matches",
    Variant.TAKEOVER_RESTARTS_TASKS: "no_second_start",
    Variant.LOST_REPLY_IS_FAILURE: "no_second_start",
}


def test_invariants_hold_in_every_state():
    result = check_safety(model(), MAX_STATES)
    print(f"{result['reachable_states']} states explored")
    assert result["exhaustive"]
    assert result["reachable_states"] > 100_000
    held = {name: found["holds"] for name, found in result["properties"].items()}
    assert held == dict.fromkeys(INVARIANTS, True)


@pytest.mark.parametrize(("variant", "broken"), BROKEN.items(), ids=str)
def test_broken_variant_is_refuted(variant, broken):
    result = check_safety(model(variant), MAX_STATES)
    assert result["properties"][broken]["holds"] is False


def test_every_broken_variant_is_checked():
    assert set(BROKEN) == set(Variant) - {Variant.AS_DESIGNED}
