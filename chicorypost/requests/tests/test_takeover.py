"""Takeovers: what a new owner may rely on, message by message."""

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
from chicorypost.requests.tests.test_ownership import make_world, run_to_end, step_until
from chicorypost.upstreams import DispatchOutcome


@pytest.mark.parametrize(
    ("best", "idle", "epoch", "expected"),
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
def test_a_copy_is_complete_only_if_no_later_owner_can_have_decided(best, idle, epoch, expected):
    assert is_complete(best, idle, epoch) is expected


def lose_update(world, state):
    """Lose the next record of a state on its way to the backup."""
    for _ in range(2000):
        for index, (_, item) in enumerate(world.pending):
            message = decode(item[2]) if item[0] == "send" else None
            if isinstance(message, RecordUpdate) and message.record.state is state:
                del world.pending[index]
                return
        world.step()
    raise AssertionError("the record was never sent")


def test_an_answer_whose_record_was_lost_with_the_owner_is_still_known_to_the_runner():
    world, key, roles = make_world()
    world.call(roles["entry"], key)
    lose_update(world, RecordState.DONE)
    world.settle()
    world.crash(roles["owner"])
    world.sleep(5.0)
    again = world.call(roles["entry"], key)
    run_to_end(world)
    assert again.outcome == "done" and world.runs[key] == 1


def test_not_run_is_not_said_while_only_the_owner_has_the_tombstone():
    world, key, roles = make_world()
    world.cut.add(frozenset((roles["owner"], roles["backup"])))
    call = world.call(roles["entry"], key, seconds=1.0)
    world.sleep(1.5)
    assert call.outcome == "outcome-unknown"
    world.crash(roles["owner"])
    world.sleep(4.0)
    again = world.call(roles["entry"], key)
    run_to_end(world)
    assert again.outcome == "done" and world.runs[key] == 1


def test_a_runner_refuses_an_attempt_it_barred_although_the_owner_came_back():
    world, key, roles = make_world()
    world.call(roles["entry"], key)
    index = step_until(world, RunAttempt)
    attempt = decode(world.pending.pop(index)[1][2])
    assert isinstance(attempt, RunAttempt)
    service = world.nodes[roles["runner"]].service
    incarnation = attempt.runner_incarnation
    query = AttemptQuery(attempt.attempt, incarnation, ORDERS, attempt.key)
    service.handle(Received(InstanceId(roles["backup"]), query), Instant(world.now))
    view = world.views[DATA_CENTRE]
    without = tuple(m for m in view.members if m.instance != roles["owner"])
    for epoch, members in ((2, without), (3, without), (4, view.members)):
        later = View(DATA_CENTRE, Epoch(view.epoch + epoch), members)
        service.handle(ViewChanged(later), Instant(world.now))
    late = Received(InstanceId(roles["owner"]), attempt)
    service.handle(late, Instant(world.now))
    assert attempt.attempt not in service.runner.held


def test_a_runner_that_restarted_does_not_say_that_an_attempt_did_not_start():
    world = Simulation("ab")
    service = world.nodes["a"].service
    record = make_record()
    query = AttemptQuery(record.attempt, record.runner_incarnation, ORDERS, record.key)
    service.context.member = make_member("a", 2)
    effects = service.handle(Received(InstanceId("b"), query), Instant(world.now))
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
    world = Simulation("a")
    service = world.nodes["a"].service
    record = make_record()
    service.replicas.table.put_record(record, Instant(world.now))
    service.replicas.activated_partitions.append((partition_of((ORDERS, record.key)), True))
    effects = service.owner.take_over_partitions(Instant(world.now))
    held = service.replicas.table.find_record((ORDERS, record.key))
    assert held is not None and held.state is RecordState.UNKNOWN
    assert not [e for e in effects if isinstance(e, Send) and isinstance(e.message, AttemptQuery)]


def test_replies_and_updates_of_another_epoch_count_for_nothing():
    world, key, roles = make_world()
    call = world.call(roles["entry"], key)
    index = step_until(world, RecordUpdate)
    update = decode(world.pending[index][1][2])
    assert isinstance(update, RecordUpdate)
    stale = RecordUpdate(Epoch(update.epoch - 1), update.partition, update.record)
    backup = world.nodes[roles["backup"]].service
    received = Received(InstanceId(roles["owner"]), stale)
    assert backup.handle(received, Instant(world.now)) == []
    backup.replicas.loading.awaited = {InstanceId("z")}
    reply = PartitionReply(stale.epoch, (CopyStatus(update.partition, 9, -1, -1),))
    backup.handle(Received(InstanceId("z"), reply), Instant(world.now))
    assert backup.replicas.loading.awaited == {InstanceId("z")}
    run_to_end(world)
    assert call.outcome == "done"


def test_a_drained_balancer_is_not_idle_before_its_backups_are_complete():
    world = Simulation("ab")
    world.freeze_instance("b")
    world.drain_instance("a")
    world.start_instance("b")
    world.change_view(without=("b",), plus=("b",))
    world.freeze_instance("b")
    world.settle()
    assert not world.nodes["a"].service.is_idle
    world.thaw_instance("b")
    world.settle()
    assert world.nodes["a"].service.is_idle


def add_joiner(world, key, is_wanted):
    """Start an instance whose joining changes the placement of a key as wanted."""
    partition = partition_of((ORDERS, key))
    former = PartitionPlacement(world.views[DATA_CENTRE])
    for number in range(200):
        member = make_member(f"j{number}", 1)
        view = View(DATA_CENTRE, Epoch(former.view.epoch + 8), (*former.view.members, member))
        if is_wanted(former, PartitionPlacement(view), partition):
            world.homes[member.instance] = DATA_CENTRE
            world.start(member.instance)
            return view
    raise AssertionError("no name changes the placement as wanted")


def changes_only_backup(former, current, partition):
    same_owner = former.owner(partition) == current.owner(partition)
    return same_owner and former.backup(partition) != current.backup(partition)


def test_an_owner_decides_nothing_while_its_former_backup_may_not_know_the_view():
    world, key, roles = make_world()
    view = add_joiner(world, key, changes_only_backup)
    world.install(view, slow=(roles["backup"],))
    call = world.call(roles["entry"], key)
    world.sleep(2.0)
    assert world.runs[key] == 0
    world.install(view)
    run_to_end(world)
    assert call.outcome == "done" and world.runs[key] == 1


@pytest.mark.parametrize(("seconds", "is_lapsed"), [(1.0, False), (4.0, True)])
def test_an_owner_whose_lease_lapsed_asks_before_it_goes_on_in_a_later_view(seconds, is_lapsed):
    world, _, roles = make_world()
    service = world.nodes[roles["owner"]].service
    view = world.views[DATA_CENTRE]
    later = View(DATA_CENTRE, Epoch(view.epoch + 8), view.members)
    effects = service.handle(ViewChanged(later), Instant(world.now + seconds))
    loads = [e for e in effects if isinstance(e, Send) and isinstance(e.message, PartitionQuery)]
    assert bool(loads) is is_lapsed
