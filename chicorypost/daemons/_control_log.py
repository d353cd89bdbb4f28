"""The replicated log of a control instance: disk, application and waiting operators."""

import uuid
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from chicorypost.base import Effect, Event, Instant, LogIndex, encode
from chicorypost.configuration import (
    AdmissionCommitted,
    ClearReleases,
    CommandOutcome,
    ConfigurationState,
    DataCentreAdmitted,
    LeadershipChanged,
    ProposeCommand,
    StateApplied,
)
from chicorypost.consensus import (
    Apply,
    Persist,
    Persisted,
    ProposalAccepted,
    ProposalRefused,
    Propose,
    Read,
    ReadReady,
    ReadRefused,
    Replica,
    ReplicaRole,
    ReplicaStorage,
    RestoreSnapshot,
    SnapshotTaken,
    TakeSnapshot,
)
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._wall import wall_clock_ms

MAX_RETAINED_OUTCOMES = 1024

LogReply = ProposalAccepted | ProposalRefused | ReadReady | ReadRefused


class LeadershipTracker:
    """A replica that also tells when it leads.

    Leadership counts once a read through the quorum is ready: the application's state then
    includes everything that was committed under earlier leaders.

    Parameters
    ----------
    replica : Replica
        The replica.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.was_leader = False
        self.confirmation_read_id = ""
        self.is_leading = False

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        effects = list(self.replica.handle(event, now))
        effects += self._detect_role_change(now)
        result: list[Effect] = []
        for effect in effects:
            match effect:
                case ReadReady(read_id=read) if read and read == self.confirmation_read_id:
                    self.is_leading = True
                    result.append(LeadershipChanged(True))
                case ReadRefused(read_id=read) if read and read == self.confirmation_read_id:
                    self.was_leader = False
                case _:
                    result.append(effect)
        return result

    def next_deadline(self) -> Instant | None:
        """Return when the replica next wants a `Tick`."""
        return self.replica.next_deadline()

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {**self.replica.dump(), "leading": self.is_leading}

    def _detect_role_change(self, now: Instant) -> list[Effect]:
        is_leader = self.replica.role is ReplicaRole.LEADER
        if is_leader == self.was_leader:
            return []
        self.was_leader = is_leader
        if is_leader:
            self.confirmation_read_id = f"leadership-{uuid.uuid4().hex}"
            return list(self.replica.handle(Read(self.confirmation_read_id), now))
        self.confirmation_read_id = ""
        stopped, self.is_leading = self.is_leading, False
        return [LeadershipChanged(False)] if stopped else []


@dataclass(slots=True)
class LogWaiter:
    """Somebody who waits for the answer of the log."""

    reply_received: trio.Event
    reply: LogReply | None = None
    outcome: CommandOutcome | None = None


class ControlLog:
    """Carries out the effects of the replica and answers those who wait for it.

    Parameters
    ----------
    engine : Engine
        Runs the replica.
    storage : ReplicaStorage
        The data folder, recovered already.

    Attributes
    ----------
    state : ConfigurationState
        The replicated configuration on this instance.
    """

    def __init__(self, engine: Engine, storage: ReplicaStorage) -> None:
        self.engine = engine
        self.storage = storage
        self.state = ConfigurationState()
        self.outcome_by_index: dict[LogIndex, CommandOutcome] = {}
        self.waiter_by_id: dict[str, LogWaiter] = {}

    def execute_effect(self, effect: Effect) -> bool:
        """Carry out an effect of the log; return whether it was one."""
        match effect:
            case Persist():
                self.storage.write(effect)
                self.engine.post(Persisted(effect.write_number))
            case Apply(index=index, command=command):
                self._apply_command(index, command)
            case RestoreSnapshot(data=data):
                self.state.restore_snapshot(data)
                self._publish_state()
            case TakeSnapshot(index=index):
                self.engine.post(SnapshotTaken(index, self.state.take_snapshot()))
            case ProposeCommand(command=command):
                self._propose_internal_command(command)
            case ProposalAccepted(proposal_id=name) | ProposalRefused(proposal_id=name):
                self._complete_waiter(name, effect)
            case ReadReady(read_id=name) | ReadRefused(read_id=name):
                self._complete_waiter(name, effect)
            case _:
                return False
        return True

    async def propose_command(self, command: bytes, timeout_seconds: float) -> LogWaiter:
        """Propose a command and wait for its outcome; without an answer it is not known."""
        name = uuid.uuid4().hex
        return await self.post_and_wait(name, Propose(name, command), timeout_seconds)

    async def wait_for_read(self, timeout_seconds: float) -> LogWaiter:
        """Wait until the state is current as of now, as told by a quorum."""
        name = uuid.uuid4().hex
        return await self.post_and_wait(name, Read(name), timeout_seconds)

    async def post_and_wait(self, name: str, event: Event, timeout_seconds: float) -> LogWaiter:
        """Hand an event to the replica and wait for the answer with the given name."""
        waiter = LogWaiter(trio.Event())
        self.waiter_by_id[name] = waiter
        try:
            self.engine.post(event)
            with trio.move_on_after(timeout_seconds):
                await waiter.reply_received.wait()
        finally:
            del self.waiter_by_id[name]
        return waiter

    def _apply_command(self, index: LogIndex, command: bytes) -> None:
        outcome = self.state.apply_command(command)
        self.outcome_by_index[index] = outcome
        while len(self.outcome_by_index) > MAX_RETAINED_OUTCOMES:
            del self.outcome_by_index[next(iter(self.outcome_by_index))]
        self._publish_state()
        if isinstance(outcome, DataCentreAdmitted):
            self.engine.post(AdmissionCommitted(outcome.token))

    def _publish_state(self) -> None:
        state = self.state
        centres = dict(state.data_centres)
        self.engine.post(StateApplied(state.version, state.effective, state.withheld, centres))

    def _propose_internal_command(self, command: Any) -> None:
        if isinstance(command, ClearReleases):
            command = msgspec.structs.replace(command, at_ms=wall_clock_ms())
        self.engine.post(Propose(uuid.uuid4().hex, encode(command)))

    def _complete_waiter(self, name: str, answer: LogReply) -> None:
        waiter = self.waiter_by_id.get(name)
        if waiter is None:
            return
        waiter.reply = answer
        if isinstance(answer, ProposalAccepted):
            waiter.outcome = self.outcome_by_index.get(answer.index)
        waiter.reply_received.set()
