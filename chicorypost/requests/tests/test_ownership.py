"""Keyed requests: one run, true refusals, through resends, freezes, cuts and view changes."""

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


def make_world(**settings):
    world = Simulation("abcde", settings=RequestSettings(**settings))
    key, roles = world.find_key_with_roles()
    return world, key, roles


def step_until(world, message_type):
    """Let things happen until a message of a type is about to be sent; return its index."""
    for _ in range(1000):
        for index, (_, item) in enumerate(world.pending):
            if item[0] == "send" and isinstance(decode(item[2]), message_type):
                return index
        world.step()
    raise AssertionError("the message was never sent")


def run_to_end(world, seconds=12.0):
    world.sleep(seconds)
    world.replay_everything()
    world.sleep(1.0)
    world.check()


def outcomes(*calls):
    return [call.outcome for call in calls]


def test_a_resend_at_another_balancer_joins_the_running_attempt():
    world, key, roles = make_world()
    first = world.call(roles["entry"], key)
    step_until(world, RunAttempt)
    second = world.call(roles["runner"], key)
    run_to_end(world)
    assert outcomes(first, second) == ["done", "done"]
    assert world.runs[key] == 1


def test_copies_of_a_packet_after_not_run_was_said_never_run():
    world, key, roles = make_world()
    world.freeze(roles["backup"])
    call = world.call(roles["entry"], key, seconds=1.0)
    world.sleep(0.95)
    world.thaw(roles["backup"])
    world.sleep(0.03)
    assert call.outcome == "not-run"
    resends = [world.call(name, key) for name in "abcde"]
    run_to_end(world)
    assert outcomes(*resends) == ["not-run"] * 5
    assert world.runs[key] == 0


@pytest.mark.parametrize("resend", [True, False], ids=["resent", "not resent"])
def test_an_owner_frozen_before_dispatch_has_no_effect_after_the_takeover(resend):
    world, key, roles = make_world()
    call = world.call(roles["entry"], key, seconds=20.0)
    step_until(world, RunAttempt)
    world.freeze(roles["owner"])
    if not resend:
        world.crash(roles["entry"])
    world.sleep(5.0)
    world.thaw(roles["owner"])
    run_to_end(world)
    assert world.runs[key] == (1 if resend else 0)
    assert call.outcome == ("done" if resend else None)


def test_an_owner_that_rejoins_after_a_freeze_cannot_run_its_old_attempt():
    world, key, roles = make_world()
    world.call(roles["entry"], key, seconds=20.0)
    step_until(world, RunAttempt)
    world.freeze(roles["owner"])
    world.sleep(5.0)
    world.change(plus=(roles["owner"],))
    world.sleep(1.0)
    world.thaw(roles["owner"])
    run_to_end(world)
    assert world.runs[key] == 1


def test_an_attempt_carries_no_more_time_to_start_than_the_lease_has_left():
    world, key, roles = make_world()
    world.call(roles["entry"], key)
    index = step_until(world, RunAttempt)
    attempt = decode(world.pending[index][1][2])
    assert isinstance(attempt, RunAttempt)
    left = world.nodes[roles["owner"]].lease_end - world.now
    assert 0 < attempt.start_within_ms <= left * 1000
    world.now += 3.5
    assert world.nodes[roles["owner"]].service.context.may_act(world.now) is False


def test_without_a_lease_nothing_is_dispatched():
    world, key, roles = make_world()
    call = world.call(roles["entry"], key)
    step_until(world, RecordUpdate)
    world.now += 3.5
    world.settle()
    assert world.runs[key] == 0 and call.outcome is None
    run_to_end(world)
    assert world.runs[key] == 1


def test_a_cut_between_balancers_while_an_order_runs_ends_with_the_truth():
    for cut in [("entry", "owner"), ("owner", "backup"), ("owner", "runner"), ("entry", "backup")]:
        world, key, roles = make_world()
        first = world.call(roles["entry"], key, seconds=2.0)
        step_until(world, RunAttempt)
        world.cut.add(frozenset(roles[role] for role in cut))
        world.sleep(3.0)
        assert first.outcome in ("done", "outcome-unknown")
        world.cut.clear()
        again = world.call(roles["backup"], key)
        run_to_end(world)
        assert again.outcome in ("done", "not-run"), cut


def test_a_key_of_an_unreachable_data_centre_runs_nowhere_else():
    aalst = DataCentreId("aalst")
    homes = {"a": DATA_CENTRE, "b": DATA_CENTRE, "c": DATA_CENTRE, "x": aalst, "y": aalst}
    settings = RequestSettings(data_centres=(DATA_CENTRE, aalst))
    world = Simulation("abcxy", settings=settings, data_centres=homes)
    key = make_key(DATA_CENTRE, WallTime(START_WALL + world.now), Random(7))
    world.cut_links = {frozenset((near, far)) for near in "abc" for far in "xy"}
    call = world.call("x", key, seconds=3.0)
    world.sleep(4.0)
    assert call.outcome == "outcome-unknown"
    assert world.runs[key] == 0
    world.cut_links.clear()
    again = world.call("x", key)
    run_to_end(world)
    assert again.outcome == "done" and world.runs[key] == 1


def test_without_a_view_of_the_data_centre_the_attempt_decides_nothing():
    settings = RequestSettings(data_centres=(DATA_CENTRE, DataCentreId("aalst")))
    world = Simulation("abc", settings=settings)
    key = make_key(DataCentreId("aalst"), WallTime(START_WALL + world.now), Random(7))
    call = world.call("a", key)
    run_to_end(world)
    assert call.outcome == "try-again" and world.runs[key] == 0


def test_a_request_that_becomes_non_idempotent_runs_once_while_balancers_differ():
    world = Simulation("abcde", upstreams=("u1",))
    key, roles = world.find_key_with_roles()
    strict = ConfigurationDocument(
        services={ORDERS: SPEC.model_copy(update={"idempotent": ()})},
    )
    for name in (roles["owner"], roles["runner"]):
        world.deliver_event(name, ConfigurationApplied(Version(2), strict))
    calls = [world.call(name, key, target="/status", method="GET") for name in "abcde"]
    unkeyed = world.call(roles["owner"], None, target="/status", method="GET")
    run_to_end(world)
    assert outcomes(*calls) == ["done"] * 5
    assert world.runs[key] == 1
    assert unkeyed.outcome == "rejected"


def test_an_idempotent_attempt_is_not_retried_once_the_rule_is_gone():
    world = Simulation("abc", upstreams=("u1", "u2"))
    entry = world.nodes["a"].service.entry
    entry.budget.add_success(ORDERS, 5.0)
    call = world.call("a", None, target="/status", method="GET")
    world.step()
    strict = SPEC.model_copy(update={"idempotent": ()})
    world.deliver_event(
        "a", ConfigurationApplied(Version(2), ConfigurationDocument(services={ORDERS: strict}))
    )
    world.kill_upstream("u1")
    run_to_end(world)
    assert call.outcome == "try-again"


def test_replacing_every_balancer_under_load_cuts_nothing():
    world = Simulation("abcde")
    random = Random(3)
    calls = []

    def send(entry):
        key = make_key(DATA_CENTRE, WallTime(START_WALL + world.now), random)
        calls.append(world.call(entry, key))

    for name in "abcde":
        others = [each for each in "abcde" if each != name]
        for entry in "abcde":
            send(entry)
        for _ in range(5):
            world.step()
        world.drain_instance(name)
        for _ in range(20):
            world.sleep(0.1)
            send(others[len(calls) % 4])
            if world.nodes[name].service.is_idle:
                break
        assert world.nodes[name].service.is_idle
        world.change_view(without=(name,))
        world.settle()
        world.nodes[name].is_alive = False
        world.join_instance(name)
        world.sleep(0.3)
    again = [world.call("a", call.key) for call in calls]
    run_to_end(world)
    assert set(outcomes(*calls)) == {"done"}
    assert set(outcomes(*again)) == {"done"}
    assert len(world.runs) == len(calls)


def test_a_draining_balancer_takes_no_new_callers():
    world, key, roles = make_world()
    world.drain(roles["entry"])
    refused = world.call(roles["entry"], key)
    run_to_end(world)
    assert refused.outcome == "try-again"


def test_a_full_record_table_refuses_and_forgets_nothing():
    world = Simulation("abc", settings=RequestSettings(max_records=2))
    random = Random(5)
    keys = [make_key(DATA_CENTRE, WallTime(START_WALL + world.now), random) for _ in range(30)]
    first = [world.call("a", key) for key in keys]
    world.sleep(1.0)
    again = [world.call("b", key) for key in keys]
    run_to_end(world)
    assert {"done", "try-again"} == set(outcomes(*first))
    for before, after in zip(first, again, strict=True):
        assert before.outcome == after.outcome
        assert world.runs[before.key] == (before.outcome == "done")


def test_owner_and_backup_lost_gives_unknown_for_older_keys_and_runs_newer_ones():
    world, key, roles = make_world()
    done = world.call(roles["entry"], key)
    unseen = make_key(DATA_CENTRE, WallTime(START_WALL + world.now), Random(11))
    world.sleep(0.5)
    for role in ("owner", "backup"):
        world.crash(roles[role])
    world.sleep(4.0)
    survivors = [name for name in "abcde" if world.nodes[name].is_alive]
    again = world.call(survivors[0], key)
    opaque = [world.call(survivors[0], f"opaque-{n}") for n in range(8)]
    world.sleep(8.0)
    later = [
        world.call(survivors[1], make_key(DATA_CENTRE, WallTime(START_WALL + world.now), Random(n)))
        for n in range(12, 20)
    ]
    world.call(survivors[0], unseen)
    run_to_end(world)
    assert done.outcome == "done" and again.outcome == "outcome-unknown"
    assert "outcome-unknown" in outcomes(*opaque)
    assert outcomes(*later) == ["done"] * 8
    assert world.runs[key] == 1


@pytest.mark.parametrize(
    ("age", "outcome"), [(-100.0, "rejected"), (90_000.0, "outcome-unknown"), (10.0, "done")]
)
def test_a_key_from_the_future_or_past_its_retention_never_runs(age, outcome):
    world = Simulation("abc")
    key = make_key(DATA_CENTRE, WallTime(START_WALL + world.now - age), Random(1))
    call = world.call("a", key)
    run_to_end(world)
    assert call.outcome == outcome
    assert world.runs[key] == (outcome == "done")


def test_a_key_forgotten_under_a_short_retention_does_not_run_under_a_longer_one():
    world, key, roles = make_world(key_ahead_seconds=0.0, clock_skew_seconds=0.0)
    short = ConfigurationDocument(
        services={ORDERS: SPEC.model_copy(update={"retention_seconds": 5.0})}
    )
    for name in "abcde":
        world.tell(name, ConfigurationApplied(Version(2), short))
    world.call(roles["entry"], key)
    world.sleep(8.0)
    assert all(node.service.replicas.table.count == 0 for node in world.nodes.values())
    for name in "abcde":
        world.tell(name, ConfigurationApplied(Version(3), DOCUMENT))
    again = world.call(roles["entry"], key)
    run_to_end(world)
    assert again.outcome == "outcome-unknown" and world.runs[key] == 1


def test_a_key_sent_with_another_body_is_refused():
    world, key, roles = make_world()
    first = world.call(roles["entry"], key)
    world.sleep(1.0)
    other = world.call(roles["entry"], key, target="/orders/other")
    run_to_end(world)
    assert outcomes(first, other) == ["done", "rejected"]


def test_a_second_owner_lost_right_after_the_first_takeover_is_survived():
    world, key, roles = make_world()
    call = world.call(roles["entry"], key, seconds=30.0)
    step_until(world, RunAttempt)
    world.crash(roles["owner"])
    world.sleep(3.2)
    world.crash(roles["backup"])
    world.sleep(12.0)
    run_to_end(world)
    assert call.outcome == "done" and world.runs[key] == 1


def test_a_joiner_decides_only_after_all_members_of_its_view_have_replied():
    world, key, roles = make_world()
    world.call(roles["entry"], key)
    world.sleep(0.5)
    former = world.views[DATA_CENTRE]
    world.homes["f"] = DATA_CENTRE
    world.start("f")
    view = View(DATA_CENTRE, Epoch(former.epoch + 1), (*former.members, world.nodes["f"].member))
    world.install(view, slow=(roles["owner"], roles["backup"]))
    calls = [world.call(name, key, seconds=2.0) for name in "abcde"]
    world.sleep(3.0)
    assert world.runs[key] == 1
    for name in (roles["owner"], roles["backup"]):
        world.install(view)
        assert world.nodes[name].is_alive
    again = world.call("f", key)
    run_to_end(world)
    assert again.outcome == "done" and world.runs[key] == 1
    assert {"done", "outcome-unknown"} >= set(outcomes(*calls))


def test_cancel_crossing_the_answer_tells_nothing_false():
    world, key, roles = make_world()
    for steps in range(1, 40):
        key = make_key(DATA_CENTRE, WallTime(START_WALL + world.now), Random(steps))
        call = world.call(roles["entry"], key)
        for _ in range(steps):
            if world.pending:
                world.step()
        world.hang_up(call)
        call.is_broken = True
        world.sleep(3.0)
        again = world.call(roles["runner"], key)
        world.sleep(1.0)
        assert again.outcome in ("done", "not-run")
        assert world.runs[key] == (again.outcome == "done")
    run_to_end(world)


def test_an_owner_without_a_lease_waits_for_it_without_spinning():
    world, key, roles = make_world()
    world.freeze(roles["backup"])
    call = world.call(roles["entry"], key)
    world.settle()
    call.is_broken = True
    world.hang_up(call)
    world.settle()
    service = world.nodes[roles["owner"]].service
    assert service.owner.works
    service.context.lease_end = None
    service.handle(Tick(), Instant(world.now + 1.5))
    assert service.owner.next_deadline() > world.now + 1.5
