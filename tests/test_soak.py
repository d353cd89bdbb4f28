"""Each promise that the soak checks is reported when it is broken; one short run is clean."""

from itertools import pairwise

import pytest

from benchmarks.soak.__main__ import run_seed
from benchmarks.soak.checks import GuaranteeChecks
from benchmarks.soak.plan import CONTROL_FAULT_INTERVAL_SECONDS, CONTROL_FAULTS, make_plan
from benchmarks.soak.seeds import REGRESSION_SEEDS

ORDERS, ARCHIVE = ("198.18.0.1", 443), ("198.18.0.1", 444)


@pytest.fixture
def checks():
    checks = GuaranteeChecks({ORDERS: "orders", ARCHIVE: "archive"})
    checks.now = 100.0
    return checks


def promises(checks):
    return [finding.promise for finding in checks.findings]


def opened(checks, upstream="u", service="orders", target=ORDERS):
    checks.note("opened", upstream=upstream, service=service, target=target)


def test_what_is_right_is_no_finding(checks):
    opened(checks)
    checks.note("run", upstream="u", request="r", service="orders")
    checks.note("answered", request="r", target=ORDERS, body="r", service="orders")
    checks.note("read", version=3, floor=3)
    checks.finish(3, 1)
    assert promises(checks) == []


def test_a_second_run_is_found(checks):
    for upstream in ("u", "v"):
        checks.note("run", upstream=upstream, request="r", service="orders")
    assert promises(checks) == ["at most once"]


def test_a_flow_at_another_service_is_found(checks):
    opened(checks, service="archive")
    checks.note("answered", request="r", target=ORDERS, body="r", service="archive")
    assert promises(checks) == ["right service", "right service"]


def test_the_answer_to_another_request_is_found(checks):
    checks.note("answered", request="r", target=ORDERS, body="q", service="orders")
    assert promises(checks) == ["own answer"]


def test_new_work_long_after_a_drain_is_found(checks):
    checks.note("drain-acknowledged", upstream="u")
    checks.now += 2.9
    opened(checks)
    assert promises(checks) == []
    checks.now += 0.2
    opened(checks)
    assert promises(checks) == ["no new work to what leaves"]


def test_a_reset_by_a_balancer_in_calm_is_found(checks):
    checks.note("reset", request="r", target=ORDERS, mark=0)
    assert promises(checks) == ["whole flows"]


def test_a_reset_by_an_upstream_or_beside_a_fault_is_allowed(checks):
    checks.note("reset", request="r", target=ORDERS, mark=1)
    checks.fault("kill")
    checks.note("reset", request="r", target=ORDERS, mark=0)
    assert promises(checks) == []


def test_an_older_version_is_found_at_any_time(checks):
    checks.note("put-acknowledged", version=5)
    checks.fault("kill")
    checks.note("read", version=4, floor=5)
    checks.finish(4, 1)
    assert promises(checks) == ["acknowledged stays", "acknowledged stays"]


def test_a_process_that_ends_by_itself_is_found(checks):
    checks.note("ended", detail="balancer-1 ended with 1 after 9.0 s")
    assert promises(checks) == ["no end by itself"]


def test_silence_at_the_end_is_found(checks):
    checks.finish(None, 0)
    assert promises(checks) == ["acknowledged stays", "serves"]


def test_a_flow_that_fails_in_calm_is_found(checks):
    checks.note("flow-failed", target=ORDERS, reason="not opened", port=1)
    assert promises(checks) == ["serves"]


def test_a_seed_gives_the_same_plan_and_bears_one_loss_at_a_time():
    plan = make_plan(7, 60.0)
    assert plan == make_plan(7, 60.0) != make_plan(8, 60.0)
    at = [step.starts_at for step in plan if step.action in CONTROL_FAULTS]
    assert all(later - former >= CONTROL_FAULT_INTERVAL_SECONDS for former, later in pairwise(at))


@pytest.mark.xdist_group("control-processes")
@pytest.mark.parametrize("item", REGRESSION_SEEDS, ids=lambda item: item.seed)
def test_a_seed_that_failed_once_breaks_no_promise(item):
    assert run_seed(item.seed, item.seconds, None) == []


@pytest.mark.xdist_group("control-processes")
def test_a_short_run_of_the_real_programs_breaks_no_promise():
    assert run_seed(1, 4.0, None) == []
