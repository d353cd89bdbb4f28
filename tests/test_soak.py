"""The soak reports each broken guarantee; the regression seeds and a short run have no findings."""

from itertools import pairwise

import pytest

from benchmarks.soak.__main__ import run_seed
from benchmarks.soak.checks import GuaranteeChecks
from benchmarks.soak.plan import (
    CONTROL_FAULT_INTERVAL_SECONDS,
    CONTROL_FAULTS,
    HARD_LOAD_ACTIONS,
    REPORTED_FAULTS,
    make_plan,
)
from benchmarks.soak.seeds import REGRESSION_SEEDS
from benchmarks.standins.platform_client import NOT_OPENED, REFUSED

ORDERS, ARCHIVE = ("198.18.0.1", 443), ("198.18.0.1", 444)


@pytest.fixture
def checks():
    checks = GuaranteeChecks({ORDERS: "orders", ARCHIVE: "archive"})
    checks.now = 100.0
    return checks


def broken_guarantees(checks):
    return [finding.guarantee for finding in checks.findings]


def opened(checks, upstream="u", service="orders", target=ORDERS, **values):
    checks.record("opened", upstream=upstream, service=service, target=target, **values)


def test_correct_observations_give_no_finding(checks):
    opened(checks)
    checks.record("run", upstream="u", request="r", service="orders")
    checks.record("answered", request="r", target=ORDERS, body="r", service="orders")
    checks.record("read", version=3, floor=3)
    checks.check_final_state(3, 1, True)
    assert broken_guarantees(checks) == []


def test_a_second_run_of_a_request_is_found(checks):
    for upstream in ("u", "v"):
        checks.record("run", upstream=upstream, request="r", service="orders")
    assert broken_guarantees(checks) == ["at most once"]


def test_a_flow_at_another_service_is_found(checks):
    opened(checks, service="archive")
    checks.record("answered", request="r", target=ORDERS, body="r", service="archive")
    assert broken_guarantees(checks) == ["right service", "right service"]


def test_a_response_to_another_request_is_found(checks):
    checks.record("answered", request="r", target=ORDERS, body="q", service="orders")
    assert broken_guarantees(checks) == ["matching response"]


def test_new_work_long_after_a_drain_is_found(checks):
    checks.record("drain-acknowledged", upstream="u")
    checks.now += 2.9
    opened(checks)
    assert broken_guarantees(checks) == []
    checks.now += 0.2
    opened(checks)
    assert broken_guarantees(checks) == ["no new flows after a drain"]


def test_a_reset_by_a_balancer_without_a_fault_is_found(checks):
    checks.record("reset", request="r", target=ORDERS, checksum=0)
    assert broken_guarantees(checks) == ["no resets of flows"]


def test_a_reset_by_an_upstream_or_after_a_fault_is_allowed(checks):
    checks.record("reset", request="r", target=ORDERS, checksum=1)
    checks.record_fault("kill")
    checks.record("reset", request="r", target=ORDERS, checksum=0)
    assert broken_guarantees(checks) == []


def test_a_read_of_an_older_version_is_found_even_after_a_fault(checks):
    checks.record("put-acknowledged", version=5)
    checks.record_fault("kill")
    checks.record("read", version=4, floor=5)
    checks.check_final_state(4, 1, True)
    assert broken_guarantees(checks) == [
        "acknowledged version is kept",
        "acknowledged version is kept",
    ]


def test_a_process_that_ends_by_itself_is_found(checks):
    checks.record("ended", detail="balancer-1 exited with status 1 after 9.0 s")
    assert broken_guarantees(checks) == ["no unexpected exits"]


def test_missing_responses_at_the_end_are_found(checks):
    checks.check_final_state(None, 0, False)
    assert broken_guarantees(checks) == [
        "acknowledged version is kept",
        "accepts changes",
        "serves",
    ]


def test_an_opening_long_after_the_upstream_has_left_is_found(checks):
    checks.record("left", upstream="u")
    checks.now += 2.9
    checks.record("opening-after-leave", upstream="u")
    assert broken_guarantees(checks) == []
    checks.now += 0.2
    checks.record("opening-after-leave", upstream="u")
    assert broken_guarantees(checks) == ["left for good"]


def test_a_flow_failure_without_a_fault_is_found(checks):
    checks.record("flow-failed", target=ORDERS, reason="not opened", port=1)
    assert broken_guarantees(checks) == ["serves"]


def test_a_failed_opening_is_allowed_only_around_the_time_without_a_usable_upstream(checks):
    checks.unusable_at["orders"] = checks.now
    checks.now += 4.9
    for reason in (REFUSED, NOT_OPENED):
        checks.record("flow-failed", target=ORDERS, reason=reason, port=1)
    assert broken_guarantees(checks) == []
    checks.record("flow-failed", target=ARCHIVE, reason=REFUSED, port=1)
    checks.record("flow-failed", target=ORDERS, reason="no response", port=1)
    checks.now += 0.2
    checks.record("flow-failed", target=ORDERS, reason=REFUSED, port=1)
    assert broken_guarantees(checks) == ["serves", "serves", "serves"]


def test_a_flow_in_an_evacuated_data_centre_is_found_after_the_limit(checks):
    checks.record("evacuation-acknowledged", data_centre="a")
    checks.now += 4.9
    opened(checks, data_centre="a")
    checks.now += 0.2
    opened(checks, data_centre="b")
    # It was received within the limit, and read late by a busy stand-in.
    opened(checks, data_centre="a", received_at=checks.now - 0.2)
    assert broken_guarantees(checks) == []
    opened(checks, data_centre="a")
    assert broken_guarantees(checks) == ["acknowledged evacuation is in force"]
    checks.record("evacuation-ending", data_centre="a")
    opened(checks, data_centre="a")
    assert len(checks.findings) == 1


def test_a_cut_delays_only_an_evacuation_that_is_not_in_force_yet(checks):
    checks.record("evacuation-acknowledged", data_centre="a")
    checks.now += 5.1
    checks.record("evacuation-acknowledged", data_centre="b")
    checks.record_fault("power-loss")
    checks.now += 8.9
    opened(checks, data_centre="b")
    assert broken_guarantees(checks) == []
    opened(checks, data_centre="a")
    checks.now += 0.2
    opened(checks, data_centre="b")
    assert broken_guarantees(checks) == ["acknowledged evacuation is in force"] * 2


def test_a_lost_order_is_found(checks):
    checks.record("read-evacuations", evacuated=["a"], expected=["a"])
    assert broken_guarantees(checks) == []
    checks.record("read-evacuations", evacuated=[], expected=["a"])
    checks.record("order-unanswered", target="/-/Evacuation.End/a")
    assert broken_guarantees(checks) == ["acknowledged evacuation is kept", "accepts orders"]


def test_more_flows_than_the_limit_at_a_cold_upstream_are_found(checks):
    for number in range(6):
        opened(checks, is_cold=True, received_at=100.0 + number / 5)
        opened(checks, "warm", received_at=100.0)
    assert broken_guarantees(checks) == []
    opened(checks, is_cold=True, received_at=100.9)
    assert broken_guarantees(checks) == ["limit of cold upstreams"]


def test_a_seed_gives_the_same_plan_with_one_control_fault_at_a_time():
    plan = make_plan(7, 60.0)
    assert plan == make_plan(7, 60.0) != make_plan(8, 60.0)
    times = [step.starts_at for step in plan if step.action in CONTROL_FAULTS]
    assert all(
        later - earlier >= CONTROL_FAULT_INTERVAL_SECONDS for earlier, later in pairwise(times)
    )


def test_plans_contain_the_faults_that_operators_have_reported():
    planned = {step.action for seed in range(5) for step in make_plan(seed, 20.0)}
    assert planned.issuperset(REPORTED_FAULTS)


def test_plans_contain_evacuations_and_hanging_upstreams():
    planned = {step.action for seed in range(5) for step in make_plan(seed, 20.0)}
    assert planned.issuperset(HARD_LOAD_ACTIONS)


@pytest.mark.xdist_group("control-processes")
@pytest.mark.parametrize("item", REGRESSION_SEEDS, ids=lambda item: item.seed)
def test_a_regression_seed_breaks_no_guarantee(item):
    assert run_seed(item.seed, item.seconds, None) == []


@pytest.mark.xdist_group("control-processes")
def test_a_short_run_of_the_real_programs_breaks_no_guarantee():
    assert run_seed(1, 4.0, None) == []
