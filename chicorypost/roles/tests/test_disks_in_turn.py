"""Control instances whose disks are full one after another accept changes again afterwards."""

import errno
from random import Random
from typing import Any

import pytest
import trio
import trio.testing

from chicorypost.base import InstanceId
from chicorypost.consensus import (
    Apply,
    ChangeMembership,
    MembershipRepairSettings,
    Persist,
    ProposalAccepted,
    Propose,
    ReplicaRole,
    ReplicaSettings,
    ReplicaStorage,
    RestoreSnapshot,
    SnapshotTaken,
    TakeSnapshot,
)
from chicorypost.consensus.tests.fakes import CrashingFileSystem
from chicorypost.daemons import Engine, Registration, message_types_in
from chicorypost.roles._replica_host import REPLICA_HOST_EVENTS, DiskWriter, ReplicaHost

NAMES = tuple(InstanceId(f"10.0.0.{number}:80") for number in range(1, 8))


class FullDisk(CrashingFileSystem):
    """File system that takes no more bytes while it is full; a write may stop halfway."""

    is_full = False
    partial_share = 0.0
    refuses_truncation = False

    def append(self, name, data):
        if self.is_full:
            written = data[: int(len(data) * self.partial_share)]
            if written:
                super().append(name, written)
            raise OSError(errno.ENOSPC, "disk full")
        super().append(name, data)

    def truncate(self, name, size):
        if self.is_full and self.refuses_truncation:
            raise OSError(errno.ENOSPC, "disk full")
        super().truncate(name, size)


class ControlInstance:
    """Replica with its engine and disk; messages go to the other instances of the group."""

    def __init__(self, group, name, folder, seed, founding):
        self.group, self.name = group, name
        self.files = FullDisk()
        self.log: list[Any] = []
        self.accepted: set[str] = set()
        self.applied: list[bytes] = []
        self.engine = Engine(self.send, self.log.append, self.execute)
        settings = ReplicaSettings(
            founding_members=founding,
            contacts=founding,
            election_seconds=1.0,
            first_election_seconds=0.3,
            snapshot_interval_records=8,
            trailing_records=4,
        )
        self.host = ReplicaHost(settings, name, Random(seed))
        self.writer = DiskWriter(folder, self.engine, self.log.append)
        self.writer.storage = ReplicaStorage(folder, self.files)
        messages = message_types_in(range(100, 200))
        self.engine.register(Registration("log", self.host, messages, REPLICA_HOST_EVENTS))

    def send(self, to, message):
        self.group.network.send_nowait((self.name, to, message))

    def execute(self, effect):
        match effect:
            case Persist():
                self.writer.queue_write(effect)
            case Apply(command=command):
                self.applied.append(command)
            case RestoreSnapshot(data=data):
                self.applied = [data]
            case TakeSnapshot(index=index):
                self.engine.post(SnapshotTaken(index, self.applied[-1] if self.applied else b""))
            case ProposalAccepted(proposal_id=proposal_id):
                self.accepted.add(proposal_id)

    @property
    def term(self):
        return self.host.replica.term if self.host.replica is not None else 0

    def is_leading(self):
        return self.host.replica is not None and self.host.replica.role is ReplicaRole.LEADER


class ControlGroup:
    """Control instances that found one cluster."""

    def __init__(self, folder, size, seed, founding=5, voters=5):
        self.names = NAMES[:size]
        self.repair_settings = MembershipRepairSettings(voters=voters)
        self.random = Random(seed)
        self.network, self.deliveries = trio.open_memory_channel(10_000)
        self.instances = {
            name: ControlInstance(
                self, name, folder / str(number), seed + number, NAMES[: min(size, founding)]
            )
            for number, name in enumerate(self.names)
        }
        self.proposals = 0
        self.changes_made = 0

    async def deliver(self):
        async for sender, to, message in self.deliveries:
            await trio.sleep(0.001)
            if to in self.instances:
                self.instances[to].engine.receive(sender, message)

    async def repair(self):
        """Repair the membership as the control role does."""
        while True:
            await trio.sleep(0.25)
            for instance in self.instances.values():
                replica = instance.host.replica
                if replica is None or replica.role is not ReplicaRole.LEADER:
                    continue
                change = replica.plan_repair(self.repair_settings)
                if change is not None:
                    self.changes_made += 1
                    instance.engine.post(ChangeMembership(f"m{self.changes_made}", change))

    def leader(self):
        leaders = [item for item in self.instances.values() if item.is_leading()]
        return max(leaders, key=lambda item: item.term, default=None)

    async def change(self, timeout_seconds):
        """Send a change as an operator does, until it is accepted; return whether it was."""
        self.proposals += 1
        with trio.move_on_after(timeout_seconds):
            while True:
                leader = self.leader()
                if leader is not None:
                    proposal_id = f"p{self.proposals}"
                    leader.engine.post(Propose(proposal_id, proposal_id.encode()))
                    for _ in range(18):
                        await trio.sleep(0.05)
                        if proposal_id in leader.accepted:
                            return True
                await trio.sleep(0.1)
        return False

    def pick_disk(self, target, number):
        leader = self.leader()
        if target == "leader" and leader is not None:
            return leader.files
        others = [item for item in self.instances.values() if item is not leader]
        if target == "follower":
            return others[number % len(others)].files
        return list(self.instances.values())[number % len(self.instances)].files


async def run_without_thread(function, *arguments, abandon_on_cancel=False):
    """Stand in for `trio.to_thread.run_sync`: fake time doesn't wait for threads."""
    await trio.sleep(0.001)
    return function(*arguments)


def run(group, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(group.deliver)
            nursery.start_soon(group.repair)
            for instance in group.instances.values():
                nursery.start_soon(instance.writer.run)
                nursery.start_soon(instance.engine.run_timer)
            await scenario()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("target", ["leader", "follower", "each"])
@pytest.mark.parametrize("partial_share", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("refuses_truncation", [False, True])
def test_changes_are_accepted_after_disks_were_full_in_turn(
    tmp_path, monkeypatch, size, target, partial_share, refuses_truncation
):
    """Report: long after the last full disk had room again, changes stayed unanswered."""
    monkeypatch.setattr(trio.to_thread, "run_sync", run_without_thread)
    group = ControlGroup(tmp_path, size, seed=size)

    async def scenario():
        assert await group.change(20.0)
        for number in range(2 * size):
            disk = group.pick_disk(target, number)
            disk.partial_share, disk.refuses_truncation = partial_share, refuses_truncation
            disk.is_full = True
            ends_at = trio.current_time() + 3.0
            while trio.current_time() < ends_at:
                await group.change(1.0)
                await trio.sleep(0.2)
            disk.is_full = False
            await trio.sleep(1.0)
        assert await group.change(5.0), "a change is unanswered although all disks have room"
        await trio.sleep(3.0)
        for instance in group.instances.values():
            assert instance.host.replica is not None
            assert instance.applied[-1] == f"p{group.proposals}".encode()

    run(group, scenario)


@pytest.mark.parametrize(
    ("size", "voters"), [(3, 3), (4, 3), (5, 5), (6, 5)], ids=lambda number: str(number)
)
@pytest.mark.parametrize("target", ["leader", "follower", "each"])
@pytest.mark.parametrize("full_seconds", [1.0, 3.0, 6.0])
@pytest.mark.parametrize("pause_seconds", [0.05, 1.0, 4.0])
def test_membership_recovers_after_disks_were_full_in_turn(
    tmp_path, monkeypatch, size, voters, target, full_seconds, pause_seconds
):
    """A member that is replaced while its disk is full takes part again afterwards.

    Three instances found the cluster, the others join; one that is silent for long is replaced.
    """
    monkeypatch.setattr(trio.to_thread, "run_sync", run_without_thread)
    group = ControlGroup(tmp_path, size, seed=size, founding=3, voters=voters)

    async def scenario():
        assert await group.change(20.0)
        await trio.sleep(5.0)
        for number in range(2 * size):
            disk = group.pick_disk(target, number)
            disk.partial_share, disk.is_full = 0.5, True
            ends_at = trio.current_time() + full_seconds
            while trio.current_time() < ends_at:
                await group.change(1.0)
                await trio.sleep(0.2)
            disk.is_full = False
            await trio.sleep(pause_seconds)
        assert await group.change(5.0), "a change is unanswered although all disks have room"
        await trio.sleep(10.0)
        assert await group.change(1.0), "a change is unanswered although all disks have room"
        await trio.sleep(1.0)
        for instance in group.instances.values():
            assert instance.host.replica is not None
            assert instance.applied[-1] == f"p{group.proposals}".encode()
        assert len(group.leader().host.replica.membership.voters) == voters

    run(group, scenario)
