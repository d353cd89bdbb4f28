"""Which orders take effect, whatever the order in which their commands are committed."""

import contextlib
from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from chicorypost.base import DataCentreId, Version, pack_record, unpack_record
from chicorypost.evacuation import (
    EvacuationState,
    OrderApplied,
    OrderOutcome,
    UnreadableOrder,
    is_evacuation_command,
    make_control_snapshot,
    read_evacuation_snapshot,
)
from chicorypost.evacuation._records import MAX_DATA_CENTRES
from chicorypost.routing import RoutingDocument, RoutingState, StoredConfiguration

NAMES = [DataCentreId(name) for name in ("a", "b")]
STORED = StoredConfiguration(Version(3), b"{}")
DOCUMENT = RoutingDocument(Version(3), (), (), 15.0)


def propose(state, name, is_evacuated):
    return pack_record(state.make_command("order", DataCentreId(name), is_evacuated))


def apply(state, command):
    """Apply a readable command and return its outcome."""
    applied = state.apply(command)
    assert isinstance(applied, OrderApplied)
    return applied.outcome


def take(state, name, is_evacuated):
    """Carry out an order at once."""
    assert apply(state, propose(state, name, is_evacuated)) is OrderOutcome.TAKEN


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.booleans(), st.integers(0, 9)), max_size=40))
def test_no_command_takes_effect_after_an_order_that_was_given_later(steps):
    """Each step proposes an order and commits one of the commands in flight, in any order."""
    state = EvacuationState()
    in_flight: list[Any] = []
    for name, is_evacuated, choice in steps:
        in_flight.append((name, is_evacuated, propose(state, name, is_evacuated), set()))
        name, is_evacuated, command, outdated = in_flight.pop(choice % len(in_flight))
        outcome = apply(state, command)
        assert (outcome is OrderOutcome.TAKEN) == (not outdated)
        if outcome is OrderOutcome.TAKEN:
            assert state.is_evacuated(name) == is_evacuated
            for other, _, _, marks in in_flight:
                if other == name:
                    marks.add(True)


def test_a_late_command_does_not_undo_an_order_that_changed_nothing():
    """Were the revision left as it is, the late start would match it."""
    state = EvacuationState()
    late_start = propose(state, "a", True)
    take(state, "a", False)
    assert apply(state, late_start) is OrderOutcome.OUTDATED
    assert state.evacuations.data_centres == ()


@given(st.lists(st.tuples(st.sampled_from(NAMES), st.booleans()), max_size=12), st.data())
def test_a_replica_that_starts_again_from_its_snapshot_reaches_the_same_state(orders, data):
    """It applies the entries after the snapshot again; within a process it keeps what it has."""
    state, log, snapshots = EvacuationState(), [], [EvacuationState().snapshot()]
    for name, is_evacuated in orders:
        log.append(propose(state, name, is_evacuated))
        state.apply(log[-1])
        snapshots.append(state.snapshot())
    start = data.draw(st.integers(0, len(log)))
    packed = make_control_snapshot(STORED, snapshots[start])
    for restarted in (EvacuationState(), state):
        read = read_evacuation_snapshot(packed)
        if read is not None:
            restarted.restore(read)
        for command in log[start:]:
            restarted.apply(command)
        assert restarted.snapshot() == snapshots[-1]


def test_names_that_are_no_longer_used_make_room_and_stay_protected():
    """Any name is accepted where the settings don't list the data centres."""
    state = EvacuationState()
    late_start = propose(state, "0", True)
    for number in range(MAX_DATA_CENTRES + 1):
        take(state, str(number), False)
    assert len(state.entries) == MAX_DATA_CENTRES
    assert apply(state, late_start) is OrderOutcome.OUTDATED
    for number in range(MAX_DATA_CENTRES):
        take(state, str(number), True)
    command = propose(state, "one more", True)
    assert apply(state, command) is OrderOutcome.TOO_MANY
    assert len(state.evacuations.data_centres) == MAX_DATA_CENTRES


def test_a_refused_order_stays_refused_when_the_log_is_applied_again():
    """A replica that restarted within its process found room for it, and differed from the others
    from then on."""
    state = EvacuationState()
    for number in range(MAX_DATA_CENTRES):
        take(state, str(number), True)
    refused = propose(state, "one more", True)
    assert apply(state, refused) is OrderOutcome.TOO_MANY
    take(state, "0", False)
    before = state.snapshot()
    assert apply(state, refused) is OrderOutcome.OUTDATED
    assert state.snapshot() == before
    late = propose(state, "late", True)
    take(
        state, "another", True
    )  # in place of "0", whose entry is the only one that isn't evacuated
    assert apply(state, late) is OrderOutcome.OUTDATED


def test_commands_and_snapshots_of_both_builds_are_readable():
    state = EvacuationState()
    stored = pack_record(STORED)
    assert not is_evacuation_command(stored) and is_evacuation_command(propose(state, "a", True))
    assert make_control_snapshot(STORED, state.snapshot()) == stored
    assert read_evacuation_snapshot(stored) is None
    take(state, "a", True)
    snapshot = make_control_snapshot(STORED, state.snapshot())
    assert read_evacuation_snapshot(snapshot) == state.snapshot()
    # An earlier build reads its part of the snapshot, and no configuration from the command.
    assert unpack_record(snapshot, StoredConfiguration) == STORED
    earlier_build = RoutingState(lambda original: DOCUMENT)
    assert earlier_build.restore(snapshot)
    assert not earlier_build.apply(propose(state, "a", False))
    assert earlier_build.document == DOCUMENT


ODD_FIELDS = [
    [],
    ["o"],
    ["o", "a", True, "0"],
    ["o", "a", 1, 0],
    ["o", "", True, 0],
    ["o", "x" * 256, True, 0],
    ["o", None, True, 0],
    ["o", {"a": []}, True, 2**64 - 1],
]


@pytest.mark.parametrize("fields", ODD_FIELDS)
def test_a_command_that_this_build_cannot_read_changes_nothing(fields):
    """An error while a command of the log is applied would end the replica at each start."""
    state = EvacuationState()
    command = msgpack.packb(["evacuation", *fields])
    assert is_evacuation_command(command)
    for data in (command, command[:-1], command + b"\xc1", command[:12] + b"\x91" * 3000):
        assert isinstance(state.apply(data), UnreadableOrder)
    assert state.entries == {}


@pytest.mark.parametrize(
    "evacuations",
    [
        7,
        [],
        [1, 0],
        [-1, 0, []],
        [2**63, 0, []],
        [1, 0, [["a", 1]]],
        [1, 0, [["", 1, True]]],
        [1, 0, [["x" * 256, 1, True]]],
        [2, 0, [["a", 1, True], ["a", 2, False]]],
        [300, 0, [[str(number), number, False] for number in range(300)]],
    ],
)
def test_an_odd_state_in_a_snapshot_leaves_its_configuration_readable(evacuations):
    data = msgpack.packb([3, b"{}", evacuations])
    with pytest.raises(ValueError):
        read_evacuation_snapshot(data)
    assert RoutingState(lambda original: DOCUMENT).restore(data)


@given(st.binary(max_size=40))
def test_bytes_that_are_no_snapshot_are_refused(data):
    for odd in (data, b"\x93\x03\xc4\x00" + data):
        with contextlib.suppress(ValueError):
            read_evacuation_snapshot(odd)
        EvacuationState().apply(odd)
