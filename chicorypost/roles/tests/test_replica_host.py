"""A disk that refuses: the instance goes on without a vote and comes back with the disk."""

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
from chicorypost.roles._replica_host import REPLICA_HOST_EVENTS, DiskWriter, ReplicaHost

INSTANCE = InstanceId("10.0.0.1:80")


class FullDiskFileSystem(CrashingFileSystem):
    """Refuses every change while it is full."""

    is_full = False

    def begin_operation(self):
        if self.is_full:
            raise OSError(errno.ENOSPC, "disk full")
        super().begin_operation()


class SingleReplica:
    """One replica that is its own quorum, with its engine and its disk."""

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


def test_a_full_disk_costs_the_vote_and_not_the_process(instance):
    async def scenario():
        await instance.wait_until(instance.leads)
        instance.files.full = True
        instance.engine.post(Propose("p", b"x"))
        await instance.wait_until(lambda: instance.host.replica is None)
        assert "disk-failed" in instance.names()
        instance.files.full = False
        await instance.wait_until(instance.leads)
        assert instance.names().count("disk-works") >= 2

    run(instance, scenario)


def test_what_was_committed_is_there_after_the_disk_has_failed(instance):
    async def scenario():
        await instance.wait_until(instance.leads)
        instance.engine.post(Propose("p", b"kept"))
        applied = instance.host.replica
        await instance.wait_until(lambda: applied.applied_index >= applied.commit_index > 1)
        instance.files.full = True
        instance.engine.post(Propose("q", b"lost"))
        await instance.wait_until(lambda: instance.host.replica is None)
        instance.files.full = False
        await instance.wait_until(instance.leads)
        entries = instance.host.replica.core.log.entries
        assert b"kept" in [entry.command for entry in entries]

    run(instance, scenario)


def test_a_disk_that_is_full_at_the_start_is_tried_again(instance):
    instance.files.full = True

    async def scenario():
        await trio.sleep(3.0)
        assert instance.host.replica is None
        assert instance.names().count("disk-failed") == 1
        instance.files.full = False
        await instance.wait_until(instance.leads)

    run(instance, scenario)
