"""Tests of the replicated configuration on a real disk."""

import json
from random import Random

from chicorypost.base import InstanceId, Instant, Tick, encode
from chicorypost.configuration import PatchAccepted, PatchFormat, SubmitPatch
from chicorypost.configuration.tests.test_state import NOW_MS, make_patch_id
from chicorypost.consensus import (
    Persisted,
    Propose,
    Read,
    RecoveredState,
    Replica,
    ReplicaSettings,
    ReplicaStorage,
    SnapshotTaken,
)
from chicorypost.consensus._files import DiskFileSystem
from chicorypost.daemons._control_log import ControlLog, LeadershipTracker
from chicorypost.daemons._dispatch import Registration
from chicorypost.daemons._engine import Engine

PATCH_COUNT = 1_000
BATCH_SIZE = 100
SETTINGS = ReplicaSettings(founding_members=(InstanceId("control-0"),))


class SingleMemberControl:
    """One start of a control instance that is the only member, without a network."""

    def __init__(self, folder):
        self.now = 0.0
        self.engine = Engine(lambda *_: None, lambda _: None, self.execute, lambda: self.now)
        self.files = DiskFileSystem(folder)
        storage = ReplicaStorage(folder, self.files)
        recovered = storage.recover()
        assert isinstance(recovered, RecoveredState)
        replica = Replica(SETTINGS, InstanceId("control-0"), recovered, Random(1), Instant(0.0))
        self.log = ControlLog(self.engine, storage)
        events = (Propose, Read, Persisted, SnapshotTaken)
        self.leadership = LeadershipTracker(replica)
        self.engine.register(Registration("log", self.leadership, (), (*events, Tick)))
        while not self.leadership.is_leading:
            self.now += 0.5
            self.engine.post(Tick())

    def execute(self, effect):
        self.log.execute_effect(effect)

    def submit_patch(self, number):
        services = {"archive": {"addresses": [_address(number)], "selector": {"service": "a"}}}
        body = json.dumps({"services": services}).encode()
        kind = PatchFormat.MERGE_PATCH
        identity = make_patch_id(NOW_MS + number, number)
        command = SubmitPatch(identity, number, kind, body, "ann", NOW_MS + number)
        self.engine.queue.append(Propose(str(number), encode(command)))
        return command


def test_a_restart_after_a_thousand_patches_comes_back_exactly(tmp_path):
    process = SingleMemberControl(tmp_path)
    for number in range(PATCH_COUNT):
        last = process.submit_patch(number)
        if number % BATCH_SIZE == BATCH_SIZE - 1:
            process.engine.post(Tick())
    state = process.log.state
    assert state.version == PATCH_COUNT
    process.files.close()
    restarted = SingleMemberControl(tmp_path).log.state
    assert restarted.take_snapshot() == state.take_snapshot()
    assert restarted.effective == state.effective
    assert restarted.history == state.history
    assert restarted.check_patch(last) == state.check_patch(last)
    assert isinstance(state.check_patch(last), PatchAccepted)


def _address(number):
    return f"10.1.{number // 250}.{number % 250}:80/tcp"
