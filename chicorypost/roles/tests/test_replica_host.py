"""An instance whose disk fails runs without a vote and recovers when the disk works again."""

import errno
from random import Random
from typing import Any

import pytest
import trio
import trio.testing

from chicorypost.base import InstanceId
from chicorypost.consensus import (
    Persist,
    ProposalRefused,
    Propose,
    Read,
    ReadRefused,
    ReplicaRole,
    ReplicaSettings,
    ReplicaStorage,
)
from chicorypost.consensus.tests.fakes import CrashingFileSystem
from chicorypost.daemons import Engine, Registration
from chicorypost.roles._replica_host import (
    REPLICA_HOST_EVENTS,
    DiskWriter,
    RecoverReplica,
    ReplicaHost,
)

INSTANCE = InstanceId("10.0.0.1:80")


class FullDiskFileSystem(CrashingFileSystem):
    """File system that fails every change with ENOSPC while `is_full` is set."""

    is_full = False

    def begin_operation(self):
        if self.is_full:
            raise OSError(errno.ENOSPC, "disk full")
        super().begin_operation()


class SingleReplica:
    """A replica that is a quorum on its own, with its engine and disk."""

    def __init__(self, folder):
        self.files = FullDiskFileSystem()
        self.effects = []
        self.log: list[Any] = []
        self.engine = Engine(lambda *_: None, self.log.append, self.execute)
        settings = ReplicaSettings(founding_members=(INSTANCE,))
        self.host = ReplicaHost(settings, INSTANCE, Random(1))
        self.writer = DiskWriter(folder, self.engine, self.log.append)
        self.writer.storage = ReplicaStorage(folder, self.files)
        self.engine.register(Registration("log", self.host, (), REPLICA_HOST_EVENTS))

    def execute(self, effect):
        if isinstance(effect, Persist):
            self.writer.queue_write(effect)
        elif isinstance(effect, RecoverReplica):
            self.writer.request_recovery()
        else:
            self.effects.append(effect)

    def event_names(self):
        return [event.spec.name for event in self.log]

    async def wait_until(self, condition):
        for _ in range(2000):
            if condition():
                return
            await trio.sleep(0.02)
        raise AssertionError("condition not met in 40 s of fake time")

    def is_leading(self):
        return self.host.replica is not None and self.host.replica.role is ReplicaRole.LEADER


@pytest.fixture
def instance(tmp_path):
    return SingleReplica(tmp_path)


def run(instance, scenario):
    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(instance.engine.run_timer)
            nursery.start_soon(instance.writer.run)
            await scenario()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))


def test_proposals_and_reads_are_refused_while_there_is_no_replica(instance):
    async def scenario():
        instance.engine.post(Propose("p", b"x"))
        instance.engine.post(Read("r"))
        assert [type(effect) for effect in instance.effects] == [ProposalRefused, ReadRefused]

    run(instance, scenario)


def test_full_disk_stops_the_replica_and_not_the_process(instance):
    async def scenario():
        await instance.wait_until(instance.is_leading)
        instance.files.is_full = True
        instance.engine.post(Propose("p", b"x"))
        await instance.wait_until(lambda: instance.host.replica is None)
        assert "disk-failed" in instance.event_names()
        instance.files.is_full = False
        await instance.wait_until(instance.is_leading)
        assert instance.event_names().count("disk-works") >= 2

    run(instance, scenario)


def test_committed_entries_survive_a_disk_failure(instance):
    async def scenario():
        await instance.wait_until(instance.is_leading)
        instance.engine.post(Propose("p", b"kept"))
        applied = instance.host.replica
        await instance.wait_until(lambda: applied.applied_index >= applied.commit_index > 1)
        instance.files.is_full = True
        instance.engine.post(Propose("q", b"lost"))
        await instance.wait_until(lambda: instance.host.replica is None)
        instance.files.is_full = False
        await instance.wait_until(instance.is_leading)
        entries = instance.host.replica.core.log.entries
        assert b"kept" in [entry.command for entry in entries]

    run(instance, scenario)


def test_disk_that_is_full_at_start_is_tried_again(instance):
    instance.files.is_full = True

    async def scenario():
        await trio.sleep(3.0)
        assert instance.host.replica is None
        assert instance.event_names().count("disk-failed") == 1
        instance.files.is_full = False
        await instance.wait_until(instance.is_leading)

    run(instance, scenario)


@pytest.mark.parametrize("error", [AssertionError("a committed entry"), KeyError("x")])
def test_broken_invariant_restarts_the_replica_from_its_disk(instance, monkeypatch, error):
    """Report: one unexpected error took a whole process down, with every other task in it."""

    def fail(event, now):
        raise error

    async def scenario():
        await instance.wait_until(instance.is_leading)
        instance.engine.post(Propose("p", b"kept"))
        replica = instance.host.replica
        await instance.wait_until(lambda: replica.applied_index >= replica.commit_index > 1)
        monkeypatch.setattr(replica, "handle", fail)
        instance.engine.post(Propose("q", b"refused"))
        assert instance.host.replica is None
        await instance.wait_until(instance.is_leading)
        assert "replica-failed" in instance.event_names()
        recovered = instance.host.replica
        assert recovered is not None
        commands = [entry.command for entry in recovered.core.log.entries]
        assert b"kept" in commands and b"refused" not in commands

    run(instance, scenario)
