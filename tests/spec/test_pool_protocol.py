"""Check the specification of pools, and that the check can fail."""

from __future__ import annotations

from dataclasses import replace

import pytest
from minicheck import check_safety

from spec.pool_protocol import POOL_INVARIANTS, PoolVariant, pool_model
from spec.resend_timing import designed, resend_model

MAX_STATES = 3_000_000
BROKEN = {
    PoolVariant.UNFENCED: "never_two_runs",
    PoolVariant.OUTCOME_UNKNOWN: "never_two_runs",
    PoolVariant.SILENT_IS_DEAD: "never_two_runs",
    PoolVariant.HOLD_FIRST: "never_two_runs",
    PoolVariant.UNCONFIRMED: "never_two_runs",
    PoolVariant.UNEXTENDED: "never_two_runs",
    PoolVariant.FOREIGN_LEASE: "never_two_runs",
    PoolVariant.UNSTOPPED: "never_two_runs",
    PoolVariant.FORGETFUL: "not_run_is_true",
}


def test_the_protocol_holds_in_every_state():
    result = check_safety(pool_model(), MAX_STATES)
    print(f"{result['reachable_states']} states explored")
    assert result["exhaustive"]
    held = {name: found["holds"] for name, found in result["properties"].items()}
    assert held == dict.fromkeys(POOL_INVARIANTS, True)
    assert result["reachable_states"] > 10_000


@pytest.mark.parametrize(("variant", "broken"), BROKEN.items(), ids=str)
def test_a_broken_variant_is_caught(variant, broken):
    result = check_safety(pool_model(variant), MAX_STATES)
    assert result["properties"][broken]["holds"] is False


def test_every_broken_variant_is_tried():
    assert set(BROKEN) == set(PoolVariant) - {PoolVariant.AS_DESIGNED}


def holds(intervals):
    result = check_safety(resend_model(intervals), MAX_STATES)
    assert result["exhaustive"]
    return result["properties"]["ended_before_resend"]["holds"]


def test_runs_have_ended_before_the_client_sends_the_job_again():
    assert holds(designed())


@pytest.mark.parametrize(
    "change",
    [
        {"requester_silence": 60},
        {"lease": 70},
        {"orphan_timeout": 60},
        {"heard_until_told": 0},
    ],
)
def test_longer_intervals_break_the_inequality(change):
    assert not holds(replace(designed(), **change))
