"""Check the pool and retry models and that each broken variant is refuted."""

from __future__ import annotations

from dataclasses import replace

import pytest
from minicheck import check_safety

from spec.pool_protocol import POOL_INVARIANTS, PoolVariant, pool_model
from spec.resend_timing import configured_intervals, resend_model

MAX_STATES = 3_000_000
BROKEN = {
    PoolVariant.START_BEFORE_FENCING: "never_two_runs",
    PoolVariant.NO_REPLY_IS_REFUSAL: "never_two_runs",
    PoolVariant.SILENT_IS_DEAD: "never_two_runs",
    PoolVariant.LEASE_BEFORE_STOP: "never_two_runs",
    PoolVariant.OWNERSHIP_UNCONFIRMED: "never_two_runs",
    PoolVariant.DELAYED_EXTENSION_IGNORED: "never_two_runs",
    PoolVariant.FOREIGN_LEASE_IGNORED: "never_two_runs",
    PoolVariant.PENDING_STOP_IGNORED: "never_two_runs",
    PoolVariant.LATE_START_FORGOTTEN: "never_two_runs",
    PoolVariant.LEASE_OUTLIVES_RESTART: "never_two_runs",
    PoolVariant.SENT_START_FORGOTTEN: "not_run_is_true",
}

RESTARTS = {PoolVariant.LATE_START_FORGOTTEN: 1, PoolVariant.LEASE_OUTLIVES_RESTART: 1}


def test_invariants_hold_in_every_state():
    result = check_safety(pool_model(), MAX_STATES)
    print(f"{result['reachable_states']} states explored")
    assert result["exhaustive"]
    held = {name: found["holds"] for name, found in result["properties"].items()}
    assert held == dict.fromkeys(POOL_INVARIANTS, True)
    assert result["reachable_states"] > 10_000


def test_invariants_hold_if_a_minion_starts_again_under_its_id():
    result = check_safety(pool_model(restarts=1), MAX_STATES)
    print(f"{result['reachable_states']} states explored")
    assert result["exhaustive"]
    held = {name: found["holds"] for name, found in result["properties"].items()}
    assert held == dict.fromkeys(POOL_INVARIANTS, True)
    assert result["reachable_states"] > 10_000


@pytest.mark.parametrize(("variant", "broken"), BROKEN.items(), ids=str)
def test_broken_variant_is_refuted(variant, broken):
    result = check_safety(pool_model(variant, RESTARTS.get(variant)), MAX_STATES)
    assert result["properties"][broken]["holds"] is False


def test_every_broken_variant_is_checked():
    assert set(BROKEN) == set(PoolVariant) - {PoolVariant.AS_DESIGNED}


def check(intervals, *, stops_lost=True):
    result = check_safety(resend_model(intervals, stops_lost=stops_lost), MAX_STATES)
    assert result["exhaustive"]
    return {name: found["holds"] for name, found in result["properties"].items()}


@pytest.mark.parametrize("coordinator_dies", [True, False])
def test_runs_end_before_the_client_retries(coordinator_dies):
    """An orphaned run ends in time and takes no other run along, in any takeovers."""
    intervals = configured_intervals(coordinator_dies=coordinator_dies)
    held = check(intervals)
    assert held == {"ended_before_resend": True, "neighbour_survives": True}


@pytest.mark.parametrize("coordinator_dies", [True, False])
def test_counting_from_each_takeover_violates_the_bound(coordinator_dies):
    """A time that begins anew with each owner lets orphaned runs meet their resend."""
    intervals = configured_intervals(coordinator_dies=coordinator_dies)
    held = check(replace(intervals, orphan_lifetime=None), stops_lost=False)
    assert held["ended_before_resend"] is False


@pytest.mark.parametrize(
    ("change", "broken"),
    [
        ({"orphan_lifetime": 63}, "ended_before_resend"),
        ({"stop_time": 4}, "ended_before_resend"),
        ({"resend": 64}, "ended_before_resend"),
        ({"starts_limited": False}, "ended_before_resend"),
        ({"stop_lead": 3}, "neighbour_survives"),
        ({"min_claim_time": 30}, "neighbour_survives"),
        ({"lease_at_takeover": 8}, "neighbour_survives"),
    ],
)
def test_changed_interval_violates_the_bound(change, broken):
    intervals = configured_intervals(coordinator_dies=True)
    assert check(replace(intervals, **change))[broken] is False
