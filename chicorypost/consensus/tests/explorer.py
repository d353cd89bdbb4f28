"""Exhaustive breadth-first exploration of real replicas within small bounds.

A world is three replicas with their disks and the set of messages under way. Any message may come
next, or never; a replica may time out or be offered a command. After each event the replica syncs
what it wrote, or crashes before that and starts again from its disk. Time stands still except for
timeouts. Messages of an earlier term than the receiver's count as lost.
"""

import io
import pickle
import random
from dataclasses import dataclass, field, replace
from functools import cache
from typing import Any

import msgspec

from chicorypost.base import Event, InstanceId, Instant, Received, Send, Tick
from chicorypost.consensus import (
    ClusterMembership,
    HardState,
    MemberId,
    Persist,
    Persisted,
    Propose,
    RecoveredState,
    Replica,
    ReplicaRole,
    ReplicaSettings,
)
from chicorypost.consensus._messages import AppendReply, VoteReply

SIZE = 3
NAMES = tuple(InstanceId(f"c{number}") for number in range(1, SIZE + 1))
VOTERS = tuple(MemberId(name, name) for name in NAMES)
SETTINGS = ReplicaSettings(founding_members=NAMES)
TIMEOUT_STEP_SECONDS = 10.0


class ConstantRandom(random.Random):
    """Makes every election timeout equal."""

    def random(self):
        return 0.0

    def __reduce__(self) -> Any:
        return (ConstantRandom, ())


@dataclass(frozen=True)
class Bounds:
    """What may happen at most: timeouts of each member, commands and crashes in all."""

    timeouts: tuple[int, ...] = (1, 1, 0)
    commands: int = 1
    crashes: int = 1
    max_states: int = 10_000_000


@dataclass(frozen=True)
class PackedReplica:
    """A replica as bytes, and what the exploration asks of it."""

    packed: bytes
    role: ReplicaRole
    term: int
    committed: frozenset


@dataclass(frozen=True)
class Place:
    """One member: its replica and what is on its disk."""

    replica: PackedReplica
    disk: RecoveredState = field(compare=False)
    timeouts: int = 0

    @property
    def now(self):
        return Instant(TIMEOUT_STEP_SECONDS * self.timeouts)


@dataclass(frozen=True)
class World:
    """All members, the messages under way, and what has been seen so far."""

    places: tuple[Place, ...]
    messages: frozenset
    leaders: frozenset
    committed: frozenset
    commands: int = 0
    crashes: int = 0


def pack(replica):
    """Return the replica as bytes; without references, so that equal replicas have equal bytes."""
    replica.core.settings = None
    replica.core.effects = []
    stream = io.BytesIO()
    pickler = pickle.Pickler(stream, protocol=5)
    pickler.fast = True
    pickler.dump(replica.core)
    return stream.getvalue()


def unpack(packed):
    replica = Replica.__new__(Replica)
    replica.core = pickle.loads(packed)
    replica.core.settings = SETTINGS
    replica.has_handled_event = True
    return replica


@cache
def take(packed: bytes, event: Event, now: Instant, is_synced: bool):
    """Return the replica and the effects after an event, with or without the sync after it."""
    replica = unpack(packed)
    effects = replica.handle(event, now)
    writes = [effect for effect in effects if isinstance(effect, Persist)]
    while is_synced and writes:
        more = replica.handle(Persisted(writes[-1].write_number), now)
        writes = [effect for effect in more if isinstance(effect, Persist)]
        effects = effects + more
    return describe(replica), tuple(effects)


def describe(replica):
    """Pack a replica with what the exploration asks of it."""
    log = replica.core.log
    committed = frozenset(entry for entry in log.entries if entry.index <= replica.commit_index)
    return PackedReplica(pack(replica), replica.role, replica.term, committed)


def boot(disk, now):
    replica = Replica(SETTINGS, InstanceId(disk.generation), disk, ConstantRandom(), now)
    replica.handle(Persisted(0), now)
    return describe(replica)


def first_world():
    state = HardState(cluster="cluster", initial_membership=ClusterMembership(VOTERS))
    disks = [RecoveredState(name, state) for name in NAMES]
    places = tuple(Place(boot(disk, Instant(0.0)), disk) for disk in disks)
    return World(places, frozenset(), frozenset(), frozenset())


def write_to_disk(disk, persist):
    entries = disk.entries
    if persist.entries:
        first = persist.entries[0].index
        entries = tuple(entry for entry in entries if entry.index < first) + persist.entries
    return msgspec.structs.replace(
        disk, hard_state=persist.hard_state or disk.hard_state, entries=entries
    )


def step(world, at, event, bounds, timeouts=0):
    """Yield the worlds after one event: synced, and crashed before the sync."""
    place = world.places[at]
    place = replace(place, timeouts=place.timeouts + timeouts)
    replica, effects = take(place.replica.packed, event, place.now, True)
    disk = place.disk
    for effect in effects:
        disk = write_to_disk(disk, effect) if isinstance(effect, Persist) else disk
    synced = Place(replica, disk, place.timeouts)
    yield with_effects(world, at, synced, effects)
    if world.crashes < bounds.crashes and disk != place.disk:
        _, effects = take(place.replica.packed, event, place.now, False)
        yield after_crash(world, at, place, effects)


def after_crash(world, at, place, effects):
    place = Place(boot(place.disk, place.now), place.disk, place.timeouts)
    return with_effects(replace(world, crashes=world.crashes + 1), at, place, effects)


def with_effects(world, at, place, effects):
    """Return the world after a replica's effects, with the promises checked."""
    committed = place.replica.committed | world.committed
    assert len({entry.index for entry in committed}) == len(committed), "commits differ"
    leaders = set(world.leaders)
    if place.replica.role is ReplicaRole.LEADER:
        leaders.add((place.replica.term, NAMES[at]))
    assert len({term for term, _ in leaders}) == len(leaders), "two leaders in a term"
    places = (*world.places[:at], place, *world.places[at + 1 :])
    sent = {(item.to, NAMES[at], item.message) for item in effects if isinstance(item, Send)}
    by_name = dict(zip(NAMES, places, strict=True))
    alive = (item for item in world.messages | sent if can_matter(item[2], by_name[item[0]]))
    return World(
        places,
        frozenset(alive),
        frozenset(leaders),
        committed,
        world.commands,
        world.crashes,
    )


def can_matter(message, receiver):
    """Whether a message can still change its receiver, other than through its term."""
    match message:
        case VoteReply(pre_vote=False):
            return (
                message.term == receiver.replica.term
                and receiver.replica.role is ReplicaRole.CANDIDATE
            )
        case VoteReply():
            return message.requested_term > receiver.replica.term
        case AppendReply():
            return (
                message.term == receiver.replica.term
                and receiver.replica.role is ReplicaRole.LEADER
            )
        case _:
            return message.term >= receiver.replica.term


def successors(world, bounds):
    """Yield every world that one step leads to."""
    for item in world.messages:
        to, sender, message = item
        left = replace(world, messages=world.messages - {item})
        yield from step(left, NAMES.index(to), Received(sender, message), bounds)
    for at, place in enumerate(world.places):
        if world.crashes < bounds.crashes:
            yield after_crash(world, at, place, ())
        is_leader = place.replica.role is ReplicaRole.LEADER
        if place.timeouts < bounds.timeouts[at] and not is_leader:
            yield from step(world, at, Tick(), bounds, timeouts=1)
        if world.commands < bounds.commands and is_leader:
            counted = replace(world, commands=world.commands + 1)
            command = b"%d" % world.commands
            yield from step(counted, at, Propose(f"p{world.commands}", command), bounds)


def explore(bounds):
    """Visit all worlds within the bounds, or stop at the greatest number of states."""
    start = first_world()
    seen, layer, depth = {hash(start)}, [start], 0
    most_committed = most_leaders = 0
    while layer and len(seen) < bounds.max_states:
        next_layer = []
        for world in layer:
            for successor in successors(world, bounds):
                key = hash(successor)
                if key not in seen:
                    seen.add(key)
                    next_layer.append(successor)
                    most_committed = max(most_committed, len(successor.committed))
                    most_leaders = max(most_leaders, len(successor.leaders))
        layer = next_layer
        depth += 1
    return {
        "states": len(seen),
        "depth": depth,
        "complete": not layer,
        "committed": most_committed,
        "leaders": most_leaders,
    }
