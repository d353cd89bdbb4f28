"""Tests of takeovers: the state and messages that a new owner may rely on."""

import pytest

from chicorypost.base import (
    AttemptId,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    Received,
    RequestKey,
    Send,
    View,
    ViewChanged,
    decode,
)
from chicorypost.requests._messages import (
    AttemptQuery,
    AttemptResult,
    CopyStatus,
    KeyRecord,
    PartitionQuery,
    PartitionReply,
    RecordState,
    RecordUpdate,
    RunAttempt,
)
from chicorypost.requests._partition import is_complete
from chicorypost.requests._placement import PartitionPlacement, partition_of
from chicorypost.requests.tests._simulation import DATA_CENTRE, ORDERS, Simulation, make_member
from chicorypost.requests.tests.test_ownership import make_simulation, run_to_end, step_until
from chicorypost.upstreams import DispatchOutcome


@pytest.mark.parametrize(
    ("complete_until", "inactive_spans", "epoch", "expected"),
    [
        (50, [], 50, True),
        (-1, [(10, 50)], 50, False),
        (40, [], 50, False),
        (40, [(40, 50)], 50, True),
        (20, [(30, 50), (20, 30)], 50, True),
        (20, [(30, 50), (20, 29)], 50, False),
        (20, [(-1, -1), (18, 50)], 50, True),
    ],
)
def test_a_copy_is_complete_only_if_no_later_owner_can_have_decided(
    complete_until, inactive_spans, epoch, expected
):
    assert is_complete(complete_until, inactive_spans, epoch) is expected


def lose_update(simulation, state):
    """Drop the next update to the backup whose record has a state."""
    for _ in range(2000):
        for index, (_, item) in enumerate(simulation.pending):
            message = decode(item[2]) if item[0] == "send" else None
            if isinstance(message, RecordUpdate) and message.record.state is state:
                del simulation.pending[index]
                return
        simulation.step()
    raise AssertionError("the record was never sent")


def test_an_answer_whose_record_was_lost_with_the_owner_is_still_known_to_the_runner():
    simulation, key, roles = make_simulation()
    simulation.call(roles["entry"], key)
    lose_update(simulation, RecordState.DONE)
    simulation.settle()
    simulation.crash_instance(roles["owner"])
    simulation.sleep(5.0)
    again = simulation.call(roles["entry"], key)
    run_to_end(simulation)
    assert again.outcome == "done" and simulation.runs[key] == 1


def test_not_run_is_not_sent_while_only_the_owner_has_the_tombstone():
    simulation, key, roles = make_simulation()
    simulation.cut_links.add(frozenset((roles["owner"], roles["backup"])))
    call = simulation.call(roles["entry"], key, seconds=1.0)
    simulation.sleep(1.5)
    assert call.outcome == "outcome-unknown"
    simulation.crash_instance(roles["owner"])
    simulation.sleep(4.0)
    again = simulation.call(roles["entry"], key)
    run_to_end(simulation)
    assert again.outcome == "done" and simulation.runs[key] == 1


def test_a_runner_refuses_an_attempt_it_excluded_after_the_owner_rejoined():
    simulation, key, roles = make_simulation()
    simulation.call(roles["entry"], key)
    index = step_until(simulation, RunAttempt)
    attempt = decode(simulation.pending.pop(index)[1][2])
    assert isinstance(attempt, RunAttempt)
    service = simulation.nodes[roles["runner"]].service
    incarnation = attempt.runner_incarnation
    query = AttemptQuery(attempt.attempt, incarnation, ORDERS, attempt.key)
    service.handle(Received(InstanceId(roles["backup"]), query), Instant(simulation.now))
    view = simulation.views[DATA_CENTRE]
    without = tuple(m for m in view.members if m.instance != roles["owner"])
    for epoch, members in ((2, without), (3, without), (4, view.members)):
        later = View(DATA_CENTRE, Epoch(view.epoch + epoch), members)
        service.handle(ViewChanged(later), Instant(simulation.now))
    late = Received(InstanceId(roles["owner"]), attempt)
    service.handle(late, Instant(simulation.now))
    assert attempt.attempt not in service.runner.attempts


def test_a_runner_that_restarted_does_not_say_that_an_attempt_did_not_start():
    simulation = Simulation("ab")
    service = simulation.nodes["a"].service
    record = make_record()
    query = AttemptQuery(record.attempt, record.runner_incarnation, ORDERS, record.key)
    service.context.member = make_member("a", 2)
    effects = service.handle(Received(InstanceId("b"), query), Instant(simulation.now))
    results = [effect.message for effect in effects if isinstance(effect, Send)]
    assert isinstance(results[0], AttemptResult)
    assert results[0].outcome is DispatchOutcome.UNKNOWN


def make_record():
    return KeyRecord(
        ORDERS,
        RequestKey("order-1"),
        1,
        (1, 1),
        RecordState.RUNNING,
        AttemptId("b/1/1"),
        InstanceId("a"),
        Incarnation(1),
        None,
        60_000,
    )


def test_an_unfinished_attempt_of_a_copy_that_may_be_stale_is_unknown():
    simulation = Simulation("a")
    service = simulation.nodes["a"].service
    record = make_record()
    service.replicas.table.put_record(record, Instant(simulation.now))
    service.replicas.activated_partitions.append((partition_of((ORDERS, record.key)), True))
    effects = service.owner.take_over_partitions(Instant(simulation.now))
    held = service.replicas.table.find_record((ORDERS, record.key))
    assert held is not None and held.state is RecordState.UNKNOWN
    assert not [e for e in effects if isinstance(e, Send) and isinstance(e.message, AttemptQuery)]


def test_replies_and_updates_of_another_epoch_are_ignored():
    simulation, key, roles = make_simulation()
    call = simulation.call(roles["entry"], key)
    index = step_until(simulation, RecordUpdate)
    update = decode(simulation.pending[index][1][2])
    assert isinstance(update, RecordUpdate)
    stale = RecordUpdate(Epoch(update.epoch - 1), update.partition, update.record)
    backup = simulation.nodes[roles["backup"]].service
    received = Received(InstanceId(roles["owner"]), stale)
    assert backup.handle(received, Instant(simulation.now)) == []
    backup.replicas.loader.awaited_members = {InstanceId("z")}
    reply = PartitionReply(stale.epoch, (CopyStatus(update.partition, 9, -1, -1),))
    backup.handle(Received(InstanceId("z"), reply), Instant(simulation.now))
    assert backup.replicas.loader.awaited_members == {InstanceId("z")}
    run_to_end(simulation)
    assert call.outcome == "done"


def test_a_drained_balancer_is_not_idle_before_its_backups_are_complete():
    simulation = Simulation("ab")
    simulation.freeze_instance("b")
    simulation.drain_instance("a")
    simulation.start_instance("b")
    simulation.change_view(without=("b",), plus=("b",))
    simulation.freeze_instance("b")
    simulation.settle()
    assert not simulation.nodes["a"].service.is_idle
    simulation.thaw_instance("b")
    simulation.settle()
    assert simulation.nodes["a"].service.is_idle


def add_joiner(simulation, key, is_match):
    """Start an instance whose admission changes the placement of a key as required."""
    partition = partition_of((ORDERS, key))
    previous = PartitionPlacement(simulation.views[DATA_CENTRE])
    for number in range(200):
        member = make_member(f"j{number}", 1)
        view = View(DATA_CENTRE, Epoch(previous.view.epoch + 8), (*previous.view.members, member))
        if is_match(previous, PartitionPlacement(view), partition):
            simulation.data_centres[member.instance] = DATA_CENTRE
            simulation.start_instance(member.instance)
            return view
    raise AssertionError("no name changes the placement as required")


def changes_only_backup(previous, current, partition):
    same_owner = previous.owner(partition) == current.owner(partition)
    return same_owner and previous.backup(partition) != current.backup(partition)


def test_an_owner_decides_nothing_while_its_previous_backup_may_not_have_the_view():
    simulation, key, roles = make_simulation()
    view = add_joiner(simulation, key, changes_only_backup)
    simulation.install_view(view, slow=(roles["backup"],))
    call = simulation.call(roles["entry"], key)
    simulation.sleep(2.0)
    assert simulation.runs[key] == 0
    simulation.install_view(view)
    run_to_end(simulation)
    assert call.outcome == "done" and simulation.runs[key] == 1


@pytest.mark.parametrize(("seconds", "is_lapsed"), [(1.0, False), (4.0, True)])
def test_an_owner_whose_lease_lapsed_queries_before_it_decides_in_a_later_view(seconds, is_lapsed):
    simulation, _, roles = make_simulation()
    service = simulation.nodes[roles["owner"]].service
    view = simulation.views[DATA_CENTRE]
    later = View(DATA_CENTRE, Epoch(view.epoch + 8), view.members)
    effects = service.handle(ViewChanged(later), Instant(simulation.now + seconds))
    loads = [e for e in effects if isinstance(e, Send) and isinstance(e.message, PartitionQuery)]
    assert bool(loads) is is_lapsed
