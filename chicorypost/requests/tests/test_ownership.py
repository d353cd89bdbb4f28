"""Requests with a key run at most once, through resends, freezes, cut links and view changes."""

from random import Random

import pytest

from chicorypost.base import (
    DataCentreId,
    Epoch,
    Instant,
    Tick,
    Version,
    View,
    WallTime,
    decode,
)
from chicorypost.configuration import ConfigurationApplied, ConfigurationDocument
from chicorypost.requests import RequestSettings, make_key
from chicorypost.requests._messages import RecordUpdate, RunAttempt
from chicorypost.requests.tests._simulation import (
    DATA_CENTRE,
    DOCUMENT,
    ORDERS,
    SPEC,
    START_WALL,
    Simulation,
)


def make_simulation(**settings):
    simulation = Simulation("abcde", settings=RequestSettings(**settings))
    key, roles = simulation.find_key_with_roles()
    return simulation, key, roles


def step_until(simulation, message_type):
    """Execute steps until a message of a type is about to be sent; return its pending index."""
    for _ in range(1000):
        for index, (_, item) in enumerate(simulation.pending):
            if item[0] == "send" and isinstance(decode(item[2]), message_type):
                return index
        simulation.step()
    raise AssertionError("the message was never sent")


def run_to_end(simulation, seconds=12.0):
    simulation.sleep(seconds)
    simulation.replay_messages()
    simulation.sleep(1.0)
    simulation.check_outcomes()


def outcomes(*calls):
    return [call.outcome for call in calls]


def test_a_resend_at_another_balancer_joins_the_running_attempt():
    simulation, key, roles = make_simulation()
    first = simulation.call(roles["entry"], key)
    step_until(simulation, RunAttempt)
    second = simulation.call(roles["runner"], key)
    run_to_end(simulation)
    assert outcomes(first, second) == ["done", "done"]
    assert simulation.runs[key] == 1


def test_late_message_copies_never_run_after_not_run_was_sent():
    simulation, key, roles = make_simulation()
    simulation.freeze_instance(roles["backup"])
    call = simulation.call(roles["entry"], key, seconds=1.0)
    simulation.sleep(0.95)
    simulation.thaw_instance(roles["backup"])
    simulation.sleep(0.03)
    assert call.outcome == "not-run"
    resends = [simulation.call(name, key) for name in "abcde"]
    run_to_end(simulation)
    assert outcomes(*resends) == ["not-run"] * 5
    assert simulation.runs[key] == 0


@pytest.mark.parametrize("resend", [True, False], ids=["resent", "not resent"])
def test_an_owner_frozen_before_dispatch_has_no_effect_after_the_takeover(resend):
    simulation, key, roles = make_simulation()
    call = simulation.call(roles["entry"], key, seconds=20.0)
    step_until(simulation, RunAttempt)
    simulation.freeze_instance(roles["owner"])
    if not resend:
        simulation.crash_instance(roles["entry"])
    simulation.sleep(5.0)
    simulation.thaw_instance(roles["owner"])
    run_to_end(simulation)
    assert simulation.runs[key] == (1 if resend else 0)
    assert call.outcome == ("done" if resend else None)


def test_an_owner_that_rejoins_after_a_freeze_cannot_run_its_old_attempt():
    simulation, key, roles = make_simulation()
    simulation.call(roles["entry"], key, seconds=20.0)
    step_until(simulation, RunAttempt)
    simulation.freeze_instance(roles["owner"])
    simulation.sleep(5.0)
    simulation.change_view(plus=(roles["owner"],))
    simulation.sleep(1.0)
    simulation.thaw_instance(roles["owner"])
    run_to_end(simulation)
    assert simulation.runs[key] == 1


def test_an_attempt_carries_no_more_time_to_start_than_the_lease_has_left():
    simulation, key, roles = make_simulation()
    simulation.call(roles["entry"], key)
    index = step_until(simulation, RunAttempt)
    attempt = decode(simulation.pending[index][1][2])
    assert isinstance(attempt, RunAttempt)
    left = simulation.nodes[roles["owner"]].lease_end - simulation.now
    assert 0 < attempt.start_within_ms <= left * 1000
    simulation.now += 3.5
    assert simulation.nodes[roles["owner"]].service.context.has_valid_lease(simulation.now) is False


def test_without_a_lease_nothing_is_dispatched():
    simulation, key, roles = make_simulation()
    call = simulation.call(roles["entry"], key)
    step_until(simulation, RecordUpdate)
    simulation.now += 3.5
    simulation.settle()
    assert simulation.runs[key] == 0 and call.outcome is None
    run_to_end(simulation)
    assert simulation.runs[key] == 1


def test_a_cut_link_while_an_order_runs_ends_with_a_true_outcome():
    for cut in [("entry", "owner"), ("owner", "backup"), ("owner", "runner"), ("entry", "backup")]:
        simulation, key, roles = make_simulation()
        first = simulation.call(roles["entry"], key, seconds=2.0)
        step_until(simulation, RunAttempt)
        simulation.cut_links.add(frozenset(roles[role] for role in cut))
        simulation.sleep(3.0)
        assert first.outcome in ("done", "outcome-unknown")
        simulation.cut_links.clear()
        again = simulation.call(roles["backup"], key)
        run_to_end(simulation)
        assert again.outcome in ("done", "not-run"), cut


def test_a_key_of_an_unreachable_data_centre_runs_nowhere_else():
    aalst = DataCentreId("aalst")
    homes = {"a": DATA_CENTRE, "b": DATA_CENTRE, "c": DATA_CENTRE, "x": aalst, "y": aalst}
    settings = RequestSettings(data_centres=(DATA_CENTRE, aalst))
    simulation = Simulation("abcxy", settings=settings, data_centres=homes)
    key = make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), Random(7))
    simulation.cut_links = {frozenset((near, far)) for near in "abc" for far in "xy"}
    call = simulation.call("x", key, seconds=3.0)
    simulation.sleep(4.0)
    assert call.outcome == "outcome-unknown"
    assert simulation.runs[key] == 0
    simulation.cut_links.clear()
    again = simulation.call("x", key)
    run_to_end(simulation)
    assert again.outcome == "done" and simulation.runs[key] == 1


def test_without_a_view_of_the_data_centre_the_attempt_decides_nothing():
    settings = RequestSettings(data_centres=(DATA_CENTRE, DataCentreId("aalst")))
    simulation = Simulation("abc", settings=settings)
    key = make_key(DataCentreId("aalst"), WallTime(START_WALL + simulation.now), Random(7))
    call = simulation.call("a", key)
    run_to_end(simulation)
    assert call.outcome == "try-again" and simulation.runs[key] == 0


def test_a_request_that_becomes_non_idempotent_runs_once_while_balancers_differ():
    simulation = Simulation("abcde", upstreams=("u1",))
    key, roles = simulation.find_key_with_roles()
    strict = ConfigurationDocument(
        services={ORDERS: SPEC.model_copy(update={"idempotent": ()})},
    )
    for name in (roles["owner"], roles["runner"]):
        simulation.deliver_event(name, ConfigurationApplied(Version(2), strict))
    calls = [simulation.call(name, key, target="/status", method="GET") for name in "abcde"]
    unkeyed = simulation.call(roles["owner"], None, target="/status", method="GET")
    run_to_end(simulation)
    assert outcomes(*calls) == ["done"] * 5
    assert simulation.runs[key] == 1
    assert unkeyed.outcome == "rejected"


def test_an_idempotent_attempt_is_not_retried_once_the_rule_is_gone():
    simulation = Simulation("abc", upstreams=("u1", "u2"))
    entry = simulation.nodes["a"].service.entry
    entry.budget.add_success(ORDERS, 5.0)
    call = simulation.call("a", None, target="/status", method="GET")
    simulation.step()
    strict = SPEC.model_copy(update={"idempotent": ()})
    simulation.deliver_event(
        "a", ConfigurationApplied(Version(2), ConfigurationDocument(services={ORDERS: strict}))
    )
    simulation.kill_upstream("u1")
    run_to_end(simulation)
    assert call.outcome == "try-again"


def test_replacing_every_balancer_under_load_interrupts_no_request():
    simulation = Simulation("abcde")
    random = Random(3)
    calls = []

    def send(entry):
        key = make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), random)
        calls.append(simulation.call(entry, key))

    for name in "abcde":
        others = [each for each in "abcde" if each != name]
        for entry in "abcde":
            send(entry)
        for _ in range(5):
            simulation.step()
        simulation.drain_instance(name)
        for _ in range(20):
            simulation.sleep(0.1)
            send(others[len(calls) % 4])
            if simulation.nodes[name].service.is_idle:
                break
        assert simulation.nodes[name].service.is_idle
        simulation.change_view(without=(name,))
        simulation.settle()
        simulation.nodes[name].is_alive = False
        simulation.join_instance(name)
        simulation.sleep(0.3)
    again = [simulation.call("a", call.key) for call in calls]
    run_to_end(simulation)
    assert set(outcomes(*calls)) == {"done"}
    assert set(outcomes(*again)) == {"done"}
    assert len(simulation.runs) == len(calls)


def test_a_draining_balancer_takes_no_new_callers():
    simulation, key, roles = make_simulation()
    simulation.drain_instance(roles["entry"])
    refused = simulation.call(roles["entry"], key)
    run_to_end(simulation)
    assert refused.outcome == "try-again"


def test_a_full_record_table_refuses_and_forgets_nothing():
    simulation = Simulation("abc", settings=RequestSettings(max_records=2))
    random = Random(5)
    keys = [make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), random) for _ in range(30)]
    first = [simulation.call("a", key) for key in keys]
    simulation.sleep(1.0)
    again = [simulation.call("b", key) for key in keys]
    run_to_end(simulation)
    assert {"done", "try-again"} == set(outcomes(*first))
    for before, after in zip(first, again, strict=True):
        assert before.outcome == after.outcome
        assert simulation.runs[before.key] == (before.outcome == "done")


def test_owner_and_backup_lost_gives_unknown_for_older_keys_and_runs_newer_ones():
    simulation, key, roles = make_simulation()
    done = simulation.call(roles["entry"], key)
    unseen = make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), Random(11))
    simulation.sleep(0.5)
    for role in ("owner", "backup"):
        simulation.crash_instance(roles[role])
    simulation.sleep(4.0)
    survivors = [name for name in "abcde" if simulation.nodes[name].is_alive]
    again = simulation.call(survivors[0], key)
    opaque = [simulation.call(survivors[0], f"opaque-{n}") for n in range(8)]
    simulation.sleep(8.0)
    later = [
        simulation.call(
            survivors[1], make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), Random(n))
        )
        for n in range(12, 20)
    ]
    simulation.call(survivors[0], unseen)
    run_to_end(simulation)
    assert done.outcome == "done" and again.outcome == "outcome-unknown"
    assert "outcome-unknown" in outcomes(*opaque)
    assert outcomes(*later) == ["done"] * 8
    assert simulation.runs[key] == 1


@pytest.mark.parametrize(
    ("age", "outcome"), [(-100.0, "rejected"), (90_000.0, "outcome-unknown"), (10.0, "done")]
)
def test_a_key_from_the_future_or_past_its_retention_never_runs(age, outcome):
    simulation = Simulation("abc")
    key = make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now - age), Random(1))
    call = simulation.call("a", key)
    run_to_end(simulation)
    assert call.outcome == outcome
    assert simulation.runs[key] == (outcome == "done")


def test_a_key_forgotten_under_a_short_retention_does_not_run_under_a_longer_one():
    simulation, key, roles = make_simulation(key_ahead_seconds=0.0, clock_skew_seconds=0.0)
    short = ConfigurationDocument(
        services={ORDERS: SPEC.model_copy(update={"retention_seconds": 5.0})}
    )
    for name in "abcde":
        simulation.deliver_event(name, ConfigurationApplied(Version(2), short))
    simulation.call(roles["entry"], key)
    simulation.sleep(8.0)
    assert all(node.service.replicas.table.record_count == 0 for node in simulation.nodes.values())
    for name in "abcde":
        simulation.deliver_event(name, ConfigurationApplied(Version(3), DOCUMENT))
    again = simulation.call(roles["entry"], key)
    run_to_end(simulation)
    assert again.outcome == "outcome-unknown" and simulation.runs[key] == 1


def test_a_key_sent_with_another_body_is_refused():
    simulation, key, roles = make_simulation()
    first = simulation.call(roles["entry"], key)
    simulation.sleep(1.0)
    other = simulation.call(roles["entry"], key, target="/orders/other")
    run_to_end(simulation)
    assert outcomes(first, other) == ["done", "rejected"]


def test_a_second_owner_lost_right_after_the_first_takeover_is_survived():
    simulation, key, roles = make_simulation()
    call = simulation.call(roles["entry"], key, seconds=30.0)
    step_until(simulation, RunAttempt)
    simulation.crash_instance(roles["owner"])
    simulation.sleep(3.2)
    simulation.crash_instance(roles["backup"])
    simulation.sleep(12.0)
    run_to_end(simulation)
    assert call.outcome == "done" and simulation.runs[key] == 1


def test_a_joiner_decides_only_after_all_members_of_its_view_have_replied():
    simulation, key, roles = make_simulation()
    simulation.call(roles["entry"], key)
    simulation.sleep(0.5)
    previous = simulation.views[DATA_CENTRE]
    simulation.data_centres["f"] = DATA_CENTRE
    simulation.start_instance("f")
    view = View(
        DATA_CENTRE, Epoch(previous.epoch + 1), (*previous.members, simulation.nodes["f"].member)
    )
    simulation.install_view(view, slow=(roles["owner"], roles["backup"]))
    calls = [simulation.call(name, key, seconds=2.0) for name in "abcde"]
    simulation.sleep(3.0)
    assert simulation.runs[key] == 1
    for name in (roles["owner"], roles["backup"]):
        simulation.install_view(view)
        assert simulation.nodes[name].is_alive
    again = simulation.call("f", key)
    run_to_end(simulation)
    assert again.outcome == "done" and simulation.runs[key] == 1
    assert {"done", "outcome-unknown"} >= set(outcomes(*calls))


def test_a_cancel_that_crosses_the_response_leads_to_no_false_outcome():
    simulation, key, roles = make_simulation()
    for steps in range(1, 40):
        key = make_key(DATA_CENTRE, WallTime(START_WALL + simulation.now), Random(steps))
        call = simulation.call(roles["entry"], key)
        for _ in range(steps):
            if simulation.pending:
                simulation.step()
        simulation.disconnect_caller(call)
        call.is_disconnected = True
        simulation.sleep(3.0)
        again = simulation.call(roles["runner"], key)
        simulation.sleep(1.0)
        assert again.outcome in ("done", "not-run")
        assert simulation.runs[key] == (again.outcome == "done")
    run_to_end(simulation)


def test_an_owner_without_a_lease_waits_for_it_without_spinning():
    simulation, key, roles = make_simulation()
    simulation.freeze_instance(roles["backup"])
    call = simulation.call(roles["entry"], key)
    simulation.settle()
    call.is_disconnected = True
    simulation.disconnect_caller(call)
    simulation.settle()
    service = simulation.nodes[roles["owner"]].service
    assert service.owner.open_requests
    service.context.lease_end = None
    service.handle(Tick(), Instant(simulation.now + 1.5))
    assert service.owner.next_deadline() > simulation.now + 1.5
