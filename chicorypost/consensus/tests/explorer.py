"""Exhaustive breadth-first exploration of real replicas within small bounds.

A system consists of three replicas, their disks and the set of messages in flight. Any message may
be delivered next, or never; a replica may time out or receive a command. After each event the
replica syncs its writes, or crashes before the sync and restarts from its disk. Time advances only
by timeouts. Messages of an earlier term than the receiver's count as lost.
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
    """Makes all election timeouts equal."""

    def random(self):
        return 0.0

    def __reduce__(self) -> Any:
        return (ConstantRandom, ())


@dataclass(frozen=True)
class Bounds:
    """Limits of an exploration: timeouts of each member, commands and crashes in total."""

    timeouts: tuple[int, ...] = (1, 1, 0)
    commands: int = 1
    crashes: int = 1
    max_states: int = 10_000_000


@dataclass(frozen=True)
class PackedReplica:
    """A replica as bytes, with the properties that the exploration checks."""

    packed: bytes
    role: ReplicaRole
    term: int
    committed: frozenset


@dataclass(frozen=True)
class MemberState:
    """One member: its replica and the content of its disk."""

    replica: PackedReplica
    disk: RecoveredState = field(compare=False)
    timeouts: int = 0

    @property
    def now(self):
        return Instant(TIMEOUT_STEP_SECONDS * self.timeouts)


@dataclass(frozen=True)
class SystemState:
    """All members, the messages in flight, and the leaders and commits observed so far."""

    members: tuple[MemberState, ...]
    messages: frozenset
    leaders: frozenset
    committed: frozenset
    commands: int = 0
    crashes: int = 0


def pack(replica):
    """Return the replica as bytes, without memo references: equal replicas have equal bytes."""
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
def apply_event(packed: bytes, event: Event, now: Instant, is_synced: bool):
    """Return the replica and the effects after an event, with or without the sync after it."""
    replica = unpack(packed)
    effects = replica.handle(event, now)
    writes = [effect for effect in effects if isinstance(effect, Persist)]
    while is_synced and writes:
        more = replica.handle(Persisted(writes[-1].write_number), now)
        writes = [effect for effect in more if isinstance(effect, Persist)]
        effects = effects + more
    return summarize(replica), tuple(effects)


def summarize(replica):
    """Pack a replica with the properties that the exploration checks."""
    log = replica.core.log
    committed = frozenset(entry for entry in log.entries if entry.index <= replica.commit_index)
    return PackedReplica(pack(replica), replica.role, replica.term, committed)


def start_replica(disk, now):
    replica = Replica(SETTINGS, InstanceId(disk.generation), disk, ConstantRandom(), now)
    replica.handle(Persisted(0), now)
    return summarize(replica)


def initial_system():
    state = HardState(cluster="cluster", initial_membership=ClusterMembership(VOTERS))
    disks = [RecoveredState(name, state) for name in NAMES]
    members = tuple(MemberState(start_replica(disk, Instant(0.0)), disk) for disk in disks)
    return SystemState(members, frozenset(), frozenset(), frozenset())


def write_to_disk(disk, persist):
    entries = disk.entries
    if persist.entries:
        first = persist.entries[0].index
        entries = tuple(entry for entry in entries if entry.index < first) + persist.entries
    return msgspec.structs.replace(
        disk, hard_state=persist.hard_state or disk.hard_state, entries=entries
    )


def step_member(system, position, event, bounds, timeouts=0):
    """Yield the system after an event and its sync, then one that crashed instead, if allowed."""
    member = system.members[position]
    member = replace(member, timeouts=member.timeouts + timeouts)
    replica, effects = apply_event(member.replica.packed, event, member.now, True)
    disk = member.disk
    for effect in effects:
        disk = write_to_disk(disk, effect) if isinstance(effect, Persist) else disk
    synced = MemberState(replica, disk, member.timeouts)
    yield apply_effects(system, position, synced, effects)
    if system.crashes < bounds.crashes and disk != member.disk:
        _, effects = apply_event(member.replica.packed, event, member.now, False)
        yield after_crash(system, position, member, effects)


def after_crash(system, position, member, effects):
    member = MemberState(start_replica(member.disk, member.now), member.disk, member.timeouts)
    return apply_effects(replace(system, crashes=system.crashes + 1), position, member, effects)


def apply_effects(system, position, member, effects):
    """Return the system after a replica's effects; check the invariants."""
    committed = member.replica.committed | system.committed
    assert len({entry.index for entry in committed}) == len(committed), "committed entries differ"
    leaders = set(system.leaders)
    if member.replica.role is ReplicaRole.LEADER:
        leaders.add((member.replica.term, NAMES[position]))
    assert len({term for term, _ in leaders}) == len(leaders), "two leaders in a term"
    members = (*system.members[:position], member, *system.members[position + 1 :])
    sent = {(item.to, NAMES[position], item.message) for item in effects if isinstance(item, Send)}
    by_name = dict(zip(NAMES, members, strict=True))
    relevant = (item for item in system.messages | sent if is_relevant(item[2], by_name[item[0]]))
    return SystemState(
        members,
        frozenset(relevant),
        frozenset(leaders),
        committed,
        system.commands,
        system.crashes,
    )


def is_relevant(message, receiver):
    """Return whether a message can still affect its receiver, other than by its term."""
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


def successors(system, bounds):
    """Yield every system that one step leads to."""
    for item in system.messages:
        to, sender, message = item
        without_message = replace(system, messages=system.messages - {item})
        yield from step_member(without_message, NAMES.index(to), Received(sender, message), bounds)
    for position, member in enumerate(system.members):
        if system.crashes < bounds.crashes:
            yield after_crash(system, position, member, ())
        is_leader = member.replica.role is ReplicaRole.LEADER
        if member.timeouts < bounds.timeouts[position] and not is_leader:
            yield from step_member(system, position, Tick(), bounds, timeouts=1)
        if system.commands < bounds.commands and is_leader:
            with_command = replace(system, commands=system.commands + 1)
            command = b"%d" % system.commands
            yield from step_member(
                with_command, position, Propose(f"p{system.commands}", command), bounds
            )


def explore(bounds):
    """Visit all systems within the bounds, or stop at the maximum number of states."""
    start = initial_system()
    seen, layer, depth = {hash(start)}, [start], 0
    most_committed = most_leaders = 0
    while layer and len(seen) < bounds.max_states:
        next_layer = []
        for system in layer:
            for successor in successors(system, bounds):
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
