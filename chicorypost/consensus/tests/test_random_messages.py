"""Messages with random numbers, from a member of the cluster, raise no unexpected error."""

import random

import msgspec
import pytest

from chicorypost.base import LogIndex, Received, Term, Undecodable, decode, encode
from chicorypost.consensus import _messages as messages
from chicorypost.consensus import find_message_fault
from chicorypost.consensus._records import ClusterMembership, Entry, EntryKind
from chicorypost.consensus.tests.fakes import Cluster

MESSAGE_TYPES = (
    messages.VoteRequest,
    messages.VoteReply,
    messages.AppendRequest,
    messages.AppendReply,
    messages.SnapshotChunk,
    messages.SnapshotReply,
)
NUMBERS = (0, 1, 2, 3, 8, 100, -1, 2**31, 2**62)


def make_entry(rng):
    kind = rng.choice(list(EntryKind))
    return Entry(LogIndex(rng.choice(NUMBERS)), Term(rng.choice(NUMBERS)), kind, b"x")


def make_value(field, rng):
    """Return a random value of the type of a field."""
    match field.name:
        case "pre_vote" | "granted" | "matched":
            return rng.random() < 0.5
        case "data":
            return rng.randbytes(rng.randrange(50))
        case "membership":
            return ClusterMembership(())
        case "entries":
            return tuple(make_entry(rng) for _ in range(rng.randrange(3)))
        case _:
            return rng.choice(NUMBERS)


def make_message(message_type, sender, receiver, rng):
    """Return a message with a valid head for the receiver's data folder and term."""
    core = receiver.replica.core
    head = (
        core.hard_state.cluster,
        sender.replica.core.identity.generation,
        core.identity.generation,
        core.term + rng.choice((-1, 0, 1)),
    )
    fields = msgspec.structs.fields(message_type)[len(head) :]
    return message_type(*head, *(make_value(field, rng) for field in fields))


@pytest.mark.parametrize("seed", range(20))
def test_random_messages_raise_no_unexpected_error(seed):
    """An unexpected error of the replica ends a control daemon, so no message may cause one.

    Messages that contradict the log or the leader break an invariant, which must stop a replica.
    """
    rng = random.Random(seed)
    cluster = Cluster(3, seed)
    cluster.wait_for_leader()
    cluster.propose_many(0, 5)
    cluster.run(1.0)
    for _ in range(60):
        sender, receiver = rng.sample(list(cluster.nodes.values()), 2)
        message_type = rng.choice(MESSAGE_TYPES)
        message = decode(encode(make_message(message_type, sender, receiver, rng)))
        if isinstance(message, Undecodable) or find_message_fault(message) is not None:
            continue
        try:
            receiver.replica.handle(Received(sender.instance, message), cluster.now)
        except AssertionError:
            return


def test_malformed_entries_are_found():
    """A gap in the entries broke an invariant, and an unreadable membership raised."""
    head = ("cluster", "g1", "g2", Term(3), 1, LogIndex(4), Term(2))
    good = Entry(LogIndex(5), Term(3), EntryKind.COMMAND, b"x")
    gap = msgspec.structs.replace(good, index=LogIndex(7))
    old = msgspec.structs.replace(good, term=Term(1))
    unreadable = msgspec.structs.replace(good, kind=EntryKind.MEMBERSHIP)
    for entry, expected in (
        (good, None),
        (gap, "an entry has index 7, allowed is 5"),
        (old, "an entry has term 1, allowed is 2 to 3"),
        (unreadable, "entry 5 holds no membership"),
    ):
        message = messages.AppendRequest(*head, (entry,), LogIndex(4))
        assert find_message_fault(message) == expected
