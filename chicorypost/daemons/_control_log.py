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
from chicorypost.daemons._wall import wall_ms

MAX_KEPT_OUTCOMES = 1024

LogAnswer = ProposalAccepted | ProposalRefused | ReadReady | ReadRefused


class LeadingReplica:
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
        self.confirmation = ""
        self.leading = False

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Take one event and return the effects, in the order to carry them out."""
        effects = list(self.replica.handle(event, now))
        effects += self._compare_role(now)
        result: list[Effect] = []
        for effect in effects:
            match effect:
                case ReadReady(read_id=read) if read and read == self.confirmation:
                    self.leading = True
                    result.append(LeadershipChanged(True))
                case ReadRefused(read_id=read) if read and read == self.confirmation:
                    self.was_leader = False
                case _:
                    result.append(effect)
        return result

    def next_deadline(self) -> Instant | None:
        """Return when the replica next wants a `Tick`."""
        return self.replica.next_deadline()

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
        return {**self.replica.dump(), "leading": self.leading}

    def _compare_role(self, now: Instant) -> list[Effect]:
        is_leader = self.replica.role is ReplicaRole.LEADER
        if is_leader == self.was_leader:
            return []
        self.was_leader = is_leader
        if is_leader:
            self.confirmation = f"leadership-{uuid.uuid4().hex}"
            return list(self.replica.handle(Read(self.confirmation), now))
        self.confirmation = ""
        stopped, self.leading = self.leading, False
        return [LeadershipChanged(False)] if stopped else []


@dataclass(slots=True)
class Waiter:
    """Somebody who waits for the answer of the log."""

    arrived: trio.Event
    answer: LogAnswer | None = None
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
        self.outcomes: dict[LogIndex, CommandOutcome] = {}
        self.waiters: dict[str, Waiter] = {}

    def execute(self, effect: Effect) -> bool:
        """Carry out an effect of the log; return whether it was one."""
        match effect:
            case Persist():
                self.storage.write(effect)
                self.engine.post(Persisted(effect.write_number))
            case Apply(index=index, command=command):
                self._apply(index, command)
            case RestoreSnapshot(data=data):
                self.state.restore_snapshot(data)
                self._tell_state()
            case TakeSnapshot(index=index):
                self.engine.post(SnapshotTaken(index, self.state.take_snapshot()))
            case ProposeCommand(command=command):
                self._propose_own(command)
            case ProposalAccepted(proposal_id=name) | ProposalRefused(proposal_id=name):
                self._answer(name, effect)
            case ReadReady(read_id=name) | ReadRefused(read_id=name):
                self._answer(name, effect)
            case _:
                return False
        return True

    async def propose(self, command: bytes, limit_seconds: float) -> Waiter:
        """Propose a command and wait for its outcome; without an answer it is not known."""
        name = uuid.uuid4().hex
        return await self.ask(name, Propose(name, command), limit_seconds)

    async def read(self, limit_seconds: float) -> Waiter:
        """Wait until the state is current as of now, as told by a quorum."""
        name = uuid.uuid4().hex
        return await self.ask(name, Read(name), limit_seconds)

    async def ask(self, name: str, event: Event, limit_seconds: float) -> Waiter:
        """Hand an event to the replica and wait for the answer with the given name."""
        waiter = Waiter(trio.Event())
        self.waiters[name] = waiter
        try:
            self.engine.post(event)
            with trio.move_on_after(limit_seconds):
                await waiter.arrived.wait()
        finally:
            del self.waiters[name]
        return waiter

    def _apply(self, index: LogIndex, command: bytes) -> None:
        outcome = self.state.apply_command(command)
        self.outcomes[index] = outcome
        while len(self.outcomes) > MAX_KEPT_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
        self._tell_state()
        if isinstance(outcome, DataCentreAdmitted):
            self.engine.post(AdmissionCommitted(outcome.token))

    def _tell_state(self) -> None:
        state = self.state
        centres = dict(state.data_centres)
        self.engine.post(StateApplied(state.version, state.effective, state.withheld, centres))

    def _propose_own(self, command: Any) -> None:
        if isinstance(command, ClearReleases):
            command = msgspec.structs.replace(command, at_ms=wall_ms())
        self.engine.post(Propose(uuid.uuid4().hex, encode(command)))

    def _answer(self, name: str, answer: LogAnswer) -> None:
        waiter = self.waiters.get(name)
        if waiter is None:
            return
        waiter.answer = answer
        if isinstance(answer, ProposalAccepted):
            waiter.outcome = self.outcomes.get(answer.index)
        waiter.arrived.set()
