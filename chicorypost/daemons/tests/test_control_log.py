"""Tests of the replicated configuration with storage on disk."""

import json
from random import Random

import pytest

from chicorypost.base import InstanceId, Instant, LogIndex, Received, Term, Tick, encode
from chicorypost.configuration import PatchAccepted, PatchFormat, SubmitPatch
from chicorypost.configuration.tests.test_state import NOW_MS, make_patch_id
from chicorypost.consensus import (
    Entry,
    EntryKind,
    Persist,
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
from chicorypost.consensus._messages import AppendRequest
from chicorypost.daemons._control_log import ControlLog, LeadershipTracker, LogFailure
from chicorypost.daemons._dispatch import Registration
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import MESSAGE_REFUSED

PATCH_COUNT = 1_000
BATCH_SIZE = 100
SETTINGS = ReplicaSettings(founding_members=(InstanceId("control-0"),))


class SingleMemberControl:
    """A control instance that is the only member of its log and has no network."""

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
        services = {"archive": {"addresses": [_make_address(number)], "selector": {"service": "a"}}}
        body = json.dumps({"services": services}).encode()
        patch_format = PatchFormat.MERGE_PATCH
        submitted_id = make_patch_id(NOW_MS + number, number)
        command = SubmitPatch(submitted_id, number, patch_format, body, "ann", NOW_MS + number)
        self.engine.queue.append(Propose(str(number), encode(command)))
        return command


def test_a_restart_after_a_thousand_patches_restores_the_state_exactly(tmp_path):
    control = SingleMemberControl(tmp_path)
    for number in range(PATCH_COUNT):
        last_command = control.submit_patch(number)
        if number % BATCH_SIZE == BATCH_SIZE - 1:
            control.engine.post(Tick())
    state = control.log.state
    assert state.version == PATCH_COUNT
    control.files.close()
    restarted = SingleMemberControl(tmp_path).log.state
    assert restarted.take_snapshot() == state.take_snapshot()
    assert restarted.effective == state.effective
    assert restarted.history == state.history
    assert restarted.check_patch(last_command) == state.check_patch(last_command)
    assert isinstance(state.check_patch(last_command), PatchAccepted)


def _make_address(number):
    return f"10.1.{number // 250}.{number % 250}:80/tcp"


@pytest.mark.parametrize("part", ["disk", "replica"])
def test_a_failed_log_ends_the_process_and_not_just_one_exchange(tmp_path, monkeypatch, part):
    """The replica went on without a write that had failed, and acknowledged nothing more."""
    control = SingleMemberControl(tmp_path)

    def fail(*arguments):
        raise OSError("no space left on device")

    failing = control.log.storage if part == "disk" else control.leadership.replica
    with monkeypatch.context() as patch:
        patch.setattr(failing, "write" if part == "disk" else "handle", fail)
        with pytest.raises(LogFailure, match="no space left"):
            control.engine.post(Propose("p", b"command"))
    assert not issubclass(LogFailure, Exception)
    if part == "disk":
        with pytest.raises(LogFailure, match="no space left"):
            control.log.execute_effect(Persist(9))


def test_a_message_that_no_replica_would_send_is_ignored(tmp_path):
    """A message with a gap in its entries ended the process of a member that received it."""
    control = SingleMemberControl(tmp_path)
    entry = Entry(LogIndex(9), Term(1), EntryKind.COMMAND, b"x")
    message = AppendRequest(
        "cluster", "g1", "g2", Term(1), 1, LogIndex(4), Term(1), (entry,), LogIndex(4)
    )
    effects = control.leadership.handle(Received(InstanceId("control-1"), message), Instant(1.0))
    assert effects == [
        MESSAGE_REFUSED.emit(peer="control-1", reason="an entry has index 9, allowed is 5")
    ]
