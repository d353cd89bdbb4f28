"""The replicated log of a control instance: storage, applied state and pending operations."""

import uuid
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from chicorypost.base import Effect, Event, Instant, LogIndex, Received, encode
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
    find_message_fault,
)
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import MESSAGE_REFUSED
from chicorypost.daemons._wall import wall_clock_ms

MAX_RETAINED_OUTCOMES = 1024

LogReply = ProposalAccepted | ProposalRefused | ReadReady | ReadRefused


class LogFailure(BaseException):
    """The replica or its disk failed, so the state of the log is unknown and the process must end.

    Not an `Exception`: an unexpected error of a request or a message ends only that one.
    """


class LeadershipTracker:
    """Wraps a replica and reports when it gains or loses leadership.

    Leadership is reported once a quorum has confirmed a read: the applied state then includes
    every command that was committed under earlier leaders.

    Parameters
    ----------
    replica : Replica
        The wrapped replica.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.was_leader = False
        self.confirmation_read_id = ""
        self.is_leading = False

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Process an event and return the effects in execution order.

        Raises
        ------
        LogFailure
            If the replica fails: the effects of the event are lost.
        """
        if isinstance(event, Received):
            fault = find_message_fault(event.message)
            if fault is not None:
                return [MESSAGE_REFUSED.emit(peer=event.sender, reason=fault)]
        effects = self._handle_by_replica(event, now) + self._detect_role_change(now)
        result: list[Effect] = []
        for effect in effects:
            match effect:
                case ReadReady(read_id=read_id) if read_id and read_id == self.confirmation_read_id:
                    self.is_leading = True
                    result.append(LeadershipChanged(True))
                case ReadRefused(read_id=read_id) if (
                    read_id and read_id == self.confirmation_read_id
                ):
                    self.was_leader = False
                case _:
                    result.append(effect)
        return result

    def _handle_by_replica(self, event: Event, now: Instant) -> list[Effect]:
        try:
            return list(self.replica.handle(event, now))
        except Exception as error:
            raise LogFailure(f"{type(event).__name__}: {error!r}") from error

    def next_deadline(self) -> Instant | None:
        """Return when the replica next needs a `Tick`."""
        return self.replica.next_deadline()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {**self.replica.dump(), "leading": self.is_leading}

    def _detect_role_change(self, now: Instant) -> list[Effect]:
        is_leader = self.replica.role is ReplicaRole.LEADER
        if is_leader == self.was_leader:
            return []
        self.was_leader = is_leader
        if is_leader:
            self.confirmation_read_id = f"leadership-{uuid.uuid4().hex}"
            return self._handle_by_replica(Read(self.confirmation_read_id), now)
        self.confirmation_read_id = ""
        was_leading, self.is_leading = self.is_leading, False
        return [LeadershipChanged(False)] if was_leading else []


@dataclass(slots=True)
class LogWaiter:
    """A pending operation that waits for a reply of the log.

    Parameters
    ----------
    reply_received : trio.Event
        Set when the reply has arrived.
    reply : LogReply or None
        None until the reply arrives, and after a timeout.
    outcome : CommandOutcome or None
        Outcome of an accepted command.
    """

    reply_received: trio.Event
    reply: LogReply | None = None
    outcome: CommandOutcome | None = None


class ControlLog:
    """Executes the effects of the replica and completes the operations that wait for it.

    Parameters
    ----------
    engine : Engine
        Runs the replica.
    storage : ReplicaStorage
        Storage in the data folder, recovered already.

    Attributes
    ----------
    state : ConfigurationState
        The replicated configuration as applied on this instance.
    outcome_by_index : dict of LogIndex to CommandOutcome
        Outcomes of the last `MAX_RETAINED_OUTCOMES` applied commands.
    waiter_by_id : dict of str to LogWaiter
        Pending operations by the id of their proposal or read.
    failure : LogFailure or None
        Why no further write is made; the process is about to end.
    """

    def __init__(self, engine: Engine, storage: ReplicaStorage) -> None:
        self.engine = engine
        self.storage = storage
        self.state = ConfigurationState()
        self.outcome_by_index: dict[LogIndex, CommandOutcome] = {}
        self.waiter_by_id: dict[str, LogWaiter] = {}
        self.failure: LogFailure | None = None

    def execute_effect(self, effect: Effect) -> bool:
        """Execute an effect of the log; return False if the effect is of another kind.

        Raises
        ------
        LogFailure
            If a write fails now or has failed before.
        """
        match effect:
            case Persist():
                self._write(effect)
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
            case ProposalAccepted(proposal_id=request_id) | ProposalRefused(proposal_id=request_id):
                self._complete_waiter(request_id, effect)
            case ReadReady(read_id=request_id) | ReadRefused(read_id=request_id):
                self._complete_waiter(request_id, effect)
            case _:
                return False
        return True

    async def propose_command(self, command: bytes, timeout_seconds: float) -> LogWaiter:
        """Propose a command and wait for its outcome, which stays unknown after a timeout."""
        request_id = uuid.uuid4().hex
        return await self.post_and_wait(request_id, Propose(request_id, command), timeout_seconds)

    async def wait_for_read(self, timeout_seconds: float) -> LogWaiter:
        """Wait until a quorum confirms that the applied state is current as of this call."""
        request_id = uuid.uuid4().hex
        return await self.post_and_wait(request_id, Read(request_id), timeout_seconds)

    async def post_and_wait(
        self, request_id: str, event: Event, timeout_seconds: float
    ) -> LogWaiter:
        """Post an event to the replica and wait for the reply with the given id."""
        waiter = LogWaiter(trio.Event())
        self.waiter_by_id[request_id] = waiter
        try:
            self.engine.post(event)
            with trio.move_on_after(timeout_seconds):
                await waiter.reply_received.wait()
        finally:
            del self.waiter_by_id[request_id]
        return waiter

    def _write(self, persist: Persist) -> None:
        if self.failure is None:
            try:
                self.storage.write(persist)
                return
            except Exception as error:
                self.failure = LogFailure(f"write: {error!r}")
        raise self.failure

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
        data_centres = dict(state.data_centres)
        self.engine.post(StateApplied(state.version, state.effective, state.withheld, data_centres))

    def _propose_internal_command(self, command: Any) -> None:
        if isinstance(command, ClearReleases):
            command = msgspec.structs.replace(command, at_ms=wall_clock_ms())
        self.engine.post(Propose(uuid.uuid4().hex, encode(command)))

    def _complete_waiter(self, request_id: str, reply: LogReply) -> None:
        waiter = self.waiter_by_id.get(request_id)
        if waiter is None:
            return
        waiter.reply = reply
        if isinstance(reply, ProposalAccepted):
            waiter.outcome = self.outcome_by_index.get(reply.index)
        waiter.reply_received.set()
