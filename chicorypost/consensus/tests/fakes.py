"""A file system that loses unsynced data, and a simulated cluster of replicas on such disks."""

import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

from chicorypost.base import InstanceId, Instant, Received, Send, Tick, decode, encode
from chicorypost.consensus import (
    AddLearner,
    Apply,
    ChangeMembership,
    Persist,
    Persisted,
    PromoteLearner,
    ProposalAccepted,
    ProposalRefused,
    Propose,
    Read,
    ReadReady,
    ReadRefused,
    RecoveredState,
    RemoveMember,
    Replica,
    ReplicaRole,
    ReplicaSettings,
    ReplicaStorage,
    RestoreSnapshot,
    SnapshotTaken,
    TakeSnapshot,
    find_message_fault,
)


class KilledError(Exception):
    """The process was killed before the operation."""


class Inode:
    def __init__(self, durable=b""):
        self.data = bytes(durable)
        self.durable = bytes(durable)


class CrashingFileSystem:
    """Loses unsynced content and names; the process is killed at operation number `kill_at`."""

    def __init__(self, inodes=None):
        self.inodes = dict(inodes or {})
        self.durable_names = dict(self.inodes)
        self.changes = []
        self.operations = 0
        self.kill_at = None

    def begin_operation(self):
        if self.kill_at is not None and self.operations >= self.kill_at:
            raise KilledError
        self.operations += 1

    def list_files(self):
        return sorted(self.inodes)

    def read(self, name):
        return self.inodes[name].data

    def append(self, name, data):
        self.begin_operation()
        if name not in self.inodes:
            self.change_name(name, Inode())
        self.inodes[name].data += data

    def truncate(self, name, size):
        self.begin_operation()
        self.inodes[name].data = self.inodes[name].data[:size]

    def sync(self, name):
        self.begin_operation()
        self.inodes[name].durable = self.inodes[name].data

    def rename(self, old, new):
        self.begin_operation()
        self.change_name(new, self.inodes[old])
        self.change_name(old, None)

    def remove(self, name):
        self.begin_operation()
        self.change_name(name, None)

    def change_name(self, name, inode):
        self.changes.append((name, inode))
        set_name(self.inodes, name, inode)

    def sync_folder(self):
        self.begin_operation()
        self.durable_names = dict(self.inodes)
        self.changes = []

    def close(self):
        pass

    def crash(self, rng):
        """Return the disk after a crash: parts of unsynced changes may survive, also corrupted."""
        names = dict(self.durable_names)
        for name, inode in self.changes[: rng.randint(0, len(self.changes))]:
            set_name(names, name, inode)
        return CrashingFileSystem(
            {name: Inode(surviving_content(i, rng)) for name, i in names.items()}
        )


def set_name(names, name, inode):
    if inode is None:
        names.pop(name, None)
    else:
        names[name] = inode


def surviving_content(inode, rng):
    start = len(inode.durable)
    if not inode.data.startswith(inode.durable):
        return rng.choice((inode.data, inode.durable))
    extra = bytearray(inode.data[start : rng.randint(start, len(inode.data))])
    if extra and rng.random() < 0.5:
        extra[rng.randrange(len(extra))] ^= 0xFF
    return inode.durable + bytes(extra)


def last_index(recovered):
    if recovered.entries:
        return recovered.entries[-1].index
    return recovered.snapshot.index if recovered.snapshot else 0


@dataclass
class Node:
    instance: InstanceId
    files: CrashingFileSystem
    storage: Any = None
    replica: Any = None
    state: list = field(default_factory=list)
    applied_index: int = 0
    writes: list = field(default_factory=list)
    is_paused: bool = False
    inbox: list = field(default_factory=list)


class Cluster:
    """Replicas, their disks and their network, simulated with a seeded random generator."""

    def __init__(self, size, seed=0, slow_disk=False, **settings):
        self.names = [InstanceId(f"c{number}") for number in range(1, size + 1)]
        self.settings = ReplicaSettings(founding_members=tuple(self.names), **settings)
        self.rng = random.Random(seed)
        self.now = Instant(100.0)
        self.slow_disk = slow_disk
        self.in_flight = []
        self.cut_links = set()
        self.generations = 0
        self.leaders = {}
        self.committed = {}
        self.accepted = {}
        self.refused = {}
        self.commands = {}
        self.reads = {}
        self.min_read_index = {}
        self.events = []
        self.bytes_sent = 0
        self.nodes: dict[Any, Node] = {
            name: Node(name, CrashingFileSystem()) for name in self.names
        }
        for node in self.nodes.values():
            self.start(node)

    def make_generation(self):
        self.generations += 1
        return f"g{self.generations}"

    def add_node(self, name):
        node = self.nodes[InstanceId(name)] = Node(InstanceId(name), CrashingFileSystem())
        self.start(node)
        return node

    def start(self, node):
        node.storage = ReplicaStorage(Path("unused"), node.files, 200, self.make_generation)
        try:
            recovered = node.storage.recover()
        except KilledError:
            self.kill(node)
            return
        assert isinstance(recovered, RecoveredState), recovered
        assert last_index(recovered) >= node.applied_index, "the disk has less than was applied"
        node.state, node.applied_index, node.writes = [], 0, []
        rng = random.Random(self.rng.random())
        node.replica = Replica(self.settings, node.instance, recovered, rng, self.now)
        self.handle(node, Tick())

    def kill(self, node, empty=False):
        node.files = CrashingFileSystem() if empty else node.files.crash(self.rng)
        node.replica, node.writes, node.inbox, node.is_paused = None, [], [], False
        node.applied_index = 0 if empty else node.applied_index

    def restart(self, node, empty=False):
        self.kill(node, empty)
        self.start(node)

    def handle(self, node, event):
        if node.replica is None:
            return
        if node.is_paused:
            node.inbox.extend([event] if isinstance(event, Received) else [])
            return
        effects = node.replica.handle(event, self.now)
        for effect in effects:
            self.execute_effect(node, effect)
        if node.replica is not None and node.replica.role is ReplicaRole.LEADER:
            term, generation = node.replica.term, node.replica.core.identity.generation
            assert self.leaders.setdefault(term, generation) == generation, "two leaders in a term"
        if not self.slow_disk:
            self.run_disk(node)

    def execute_effect(self, node, effect):
        match effect:
            case Send(to, message):
                data = encode(message)
                self.bytes_sent += len(data)
                self.in_flight.append((node.instance, to, data))
            case Persist():
                node.writes.append(effect)
            case Apply(index, term, command):
                assert index > node.applied_index
                assert self.committed.setdefault(index, (term, command)) == (term, command)
                node.applied_index = index
                node.state.append(command)
            case RestoreSnapshot(index, data):
                assert index >= node.applied_index
                node.applied_index = index
                node.state = msgpack.unpackb(data)
            case TakeSnapshot(index):
                taken = SnapshotTaken(index, msgpack.packb(node.state))
                self.handle(node, taken)
            case ProposalAccepted(proposal, index):
                self.accepted[proposal] = index
                if proposal in self.commands:
                    assert self.committed[index][1] == self.commands[proposal]
            case ProposalRefused(proposal, reason):
                self.refused[proposal] = reason
            case ReadReady(read, index):
                assert index >= self.min_read_index[read], "a read misses an accepted proposal"
                self.reads[read] = index
            case ReadRefused(read, reason):
                self.reads[read] = reason
            case _:
                self.events.append((node.instance, effect.spec.name))

    def run_disk(self, node, count=None):
        """Carry out pending writes; the node may be killed during one."""
        if node.is_paused:
            return
        pending_writes, node.writes = node.writes[:count], node.writes[len(node.writes[:count]) :]
        for persist in pending_writes:
            try:
                node.storage.write(persist)
            except KilledError:
                self.kill(node)
                return
            self.handle(node, Persisted(persist.write_number))

    def deliver(self, position=0, keep_copy=False):
        item = self.in_flight[position] if keep_copy else self.in_flight.pop(position)
        sender, to, data = item
        if to in self.nodes and frozenset((sender, to)) not in self.cut_links:
            message: Any = decode(data)
            assert find_message_fault(message) is None
            self.handle(self.nodes[to], Received(sender, message))

    def deliver_all(self, limit=10_000):
        while self.in_flight and limit:
            self.deliver()
            limit -= 1

    def run(self, seconds, step=0.05):
        """Advance time; messages arrive in order and without delay."""
        end = self.now + seconds
        while self.now < end:
            self.now = Instant(self.now + step)
            for node in list(self.nodes.values()):
                self.tick_if_due(node)
                self.run_disk(node)
            self.deliver_all()

    def tick_if_due(self, node):
        if node.replica is not None:
            deadline = node.replica.next_deadline()
            if deadline is not None and deadline <= self.now:
                self.handle(node, Tick())

    def isolate(self, *names):
        others = [name for name in self.nodes if name not in names]
        self.cut_links |= {frozenset((name, other)) for name in names for other in others}

    def resume_node(self, node):
        node.is_paused = False
        inbox, node.inbox = node.inbox, []
        for event in inbox:
            self.handle(node, event)

    def repair_all(self):
        self.cut_links = set()
        for node in self.nodes.values():
            node.files.kill_at = None
            self.resume_node(node)
            if node.replica is None:
                self.start(node)

    def leader(self):
        """Return the leader with the greatest term among the nodes that aren't paused, or None."""
        leading = [n for n in self.nodes.values() if self.is_leading(n)]
        return max(leading, key=lambda node: node.replica.term, default=None)

    def is_leading(self, node):
        return node.replica and not node.is_paused and node.replica.role is ReplicaRole.LEADER

    def wait_for_leader(self):
        for _ in range(200):
            if self.leader() is not None and self.leader().replica.commit_index > 0:
                return self.leader()
            self.run(0.25)
        raise AssertionError("no leader after 50 seconds")

    def propose(self, node, proposal, command=b"x"):
        self.commands[proposal] = command
        self.handle(node, Propose(proposal, command))

    def propose_many(self, first, last):
        for number in range(first, last + 1):
            self.propose(self.wait_for_leader(), f"p{number}", b"%d" % number)
            self.run(0.1)

    def change_membership(self, change):
        """Propose a membership change; return the reason of a refusal, or None once committed."""
        proposal = f"change {len(self.accepted) + len(self.refused)}"
        self.handle(self.wait_for_leader(), ChangeMembership(proposal, change))
        self.run(0.5)
        return self.refused.get(proposal)

    def replace_member(self, node):
        """Replace a node's former member, whose data folder was emptied, by its new member."""
        instance, generation = node.instance, node.replica.core.identity.generation
        for member in self.wait_for_leader().replica.membership.members:
            if member.instance == instance and member.generation != generation:
                assert self.change_membership(RemoveMember(instance, member.generation)) is None
        assert self.change_membership(AddLearner(instance, generation)) is None
        assert self.change_membership(PromoteLearner(instance, generation)) is None

    def read(self, node, read):
        self.min_read_index[read] = max(self.accepted.values(), default=0)
        self.handle(node, Read(read))

    def check_logs(self):
        """Check that entries of equal index and term are equal, as are the entries before them."""
        seen: dict[Any, Any] = {}
        for node in self.nodes.values():
            previous = None
            for entry in node.replica.core.log.entries if node.replica else ():
                key = (entry.index, entry.term)
                value = (entry, previous)
                first_seen = seen.setdefault(key, value)
                assert first_seen[0] == entry
                assert None in (previous, first_seen[1]) or first_seen[1] == previous
                previous = entry

    def check_accepted(self):
        """Check that no accepted proposal is lost and that all nodes agree on the order."""
        states = [node.state for node in self.nodes.values() if node.replica]
        longest = max(states, key=len)
        assert all(longest[: len(state)] == state for state in states)
        missing = [
            p for p in self.accepted if p in self.commands and self.commands[p] not in longest
        ]
        assert not missing, f"accepted proposals are lost: {missing}"
