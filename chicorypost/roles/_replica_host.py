"""Replica that may fail: it stops on a failure and restarts from what is on its disk."""

from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import trio

from chicorypost.base import Effect, Event, InstanceId, Instant, Received
from chicorypost.consensus import (
    ChangeMembership,
    ContactsChanged,
    Persist,
    Persisted,
    ProposalRefusalReason,
    ProposalRefused,
    Propose,
    Read,
    ReadRefused,
    RecoveredState,
    Replica,
    ReplicaSettings,
    ReplicaStorage,
    SnapshotTaken,
    StorageDamage,
    find_message_fault,
)
from chicorypost.daemons import Engine
from chicorypost.daemons._events import MESSAGE_REFUSED
from chicorypost.events import Emit
from chicorypost.roles._events import DISK_FAILED, DISK_RECOVERED, REPLICA_FAILED

DISK_RETRY_SECONDS = 0.5
"""Pause before a failed disk is tried again."""


class DiskRecovered(Event, msgspec.Struct, frozen=True):
    """The data folder was recovered and the disk accepts writes."""

    recovered_state: RecoveredState


class DiskFailed(Event, msgspec.Struct, frozen=True):
    """A disk operation failed; the content of the disk is unknown until the next recovery."""

    reason: str


class RecoverReplica(Effect, msgspec.Struct, frozen=True):
    """Recover the data folder: the replica has failed, and only what is synced can be trusted."""


class ReplicaHost:
    """Passes events to the replica; refuses proposals and reads while no replica is running.

    An unexpected error or a broken invariant ends the replica, not the process: the effects of the
    failed event are dropped as in a crash, and the replica restarts from its data folder.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of the replica.
    instance : InstanceId
        Id of this instance.
    random : Random
        Source of randomness.
    """

    def __init__(self, settings: ReplicaSettings, instance: InstanceId, random: Random) -> None:
        self.settings = settings
        self.instance = instance
        self.random = random
        self.contacts = settings.contacts
        self.replica: Replica | None = None

    def handle(self, event: Event, now: Instant) -> list[Effect]:
        """Handle one event and return the effects in the order of execution."""
        try:
            return self._handle(event, now)
        except Exception as error:
            self.replica = None
            reason = f"{type(event).__name__}: {error!r:.200}"
            return [REPLICA_FAILED.emit(reason=reason), RecoverReplica()]

    def _handle(self, event: Event, now: Instant) -> list[Effect]:
        match event:
            case DiskRecovered(recovered_state):
                self.replica = Replica(
                    self.settings, self.instance, recovered_state, self.random, now
                )
                event = ContactsChanged(self.contacts)
            case DiskFailed():
                self.replica = None
                return []
            case ContactsChanged(contacts):
                self.contacts = contacts
            case Received(sender, message):
                fault = find_message_fault(message)
                if fault is not None:
                    return [MESSAGE_REFUSED.emit(peer=sender, reason=fault)]
        if self.replica is not None:
            return self.replica.handle(event, now)
        match event:
            case Propose(proposal) | ChangeMembership(proposal):
                return [ProposalRefused(proposal, ProposalRefusalReason.OUT_OF_TOUCH, None)]
            case Read(read):
                return [ReadRefused(read, ProposalRefusalReason.OUT_OF_TOUCH, None)]
        return []

    def next_deadline(self) -> Instant | None:
        """Return when the replica needs its next `Tick`."""
        return self.replica.next_deadline() if self.replica is not None else None

    def dump(self) -> dict[str, Any]:
        """Return the state of the replica as values that JSON can represent."""
        return self.replica.dump() if self.replica is not None else {"role": "no-disk"}


REPLICA_HOST_EVENTS = (
    Propose,
    Read,
    ChangeMembership,
    ContactsChanged,
    Persisted,
    SnapshotTaken,
    DiskRecovered,
    DiskFailed,
    Received,
)


class DiskWriter:
    """Executes the writes of the replica in a thread, in order.

    Parameters
    ----------
    folder : Path
        The data folder.
    engine : Engine
        Receives events for finished writes, failures and recovery.
    emit : callable
        Receives log events.
    """

    def __init__(self, folder: Path, engine: Engine, emit: Callable[[Emit], None]) -> None:
        self.folder = folder
        self.engine = engine
        self.emit = emit
        self.storage: ReplicaStorage | None = None
        self.is_recovery_requested = False
        self.write_queue: deque[Persist] = deque()
        self.work_available = trio.Event()

    def queue_write(self, persist: Persist) -> None:
        """Queue a write."""
        self.write_queue.append(persist)
        self.work_available.set()

    def request_recovery(self) -> None:
        """Recover the data folder again once the write in progress has ended."""
        self.is_recovery_requested = True
        self.work_available.set()

    async def run(self) -> None:
        """Recover the data folder and process writes until cancelled; retry after each failure."""
        last_error = ""
        while True:
            try:
                recovered = await trio.to_thread.run_sync(
                    self._recover_storage, abandon_on_cancel=True
                )
                if isinstance(recovered, StorageDamage):
                    raise OSError(f"{recovered.kind.value}: {recovered.file}: {recovered.detail}")
                last_error = ""
                self.write_queue.clear()
                self.is_recovery_requested = False
                self.emit(DISK_RECOVERED.emit(generation=recovered.generation))
                self.engine.post(DiskRecovered(recovered))
                await self._process_writes()
            except Exception as error:
                # Any error counts as a failed disk: what was written isn't known.
                reason = str(error) if isinstance(error, OSError) else repr(error)
                if reason != last_error:
                    self.emit(DISK_FAILED.emit(reason=reason))
                last_error = reason
                self.engine.post(DiskFailed(last_error))
            await trio.sleep(DISK_RETRY_SECONDS)

    def _recover_storage(self) -> RecoveredState | StorageDamage:
        files = self.storage.files if self.storage is not None else None
        self.storage = ReplicaStorage(self.folder, files)
        return self.storage.recover()

    async def _process_writes(self) -> None:
        """Process writes until a recovery is requested."""
        while True:
            self.work_available = trio.Event()
            if not self.write_queue and not self.is_recovery_requested:
                await self.work_available.wait()
            if self.is_recovery_requested:
                return
            batch = list(self.write_queue)
            self.write_queue.clear()
            await trio.to_thread.run_sync(self._write_batch, batch, abandon_on_cancel=True)
            self.engine.post(Persisted(batch[-1].write_number))

    def _write_batch(self, batch: list[Persist]) -> None:
        assert self.storage is not None
        for persist in batch:
            self.storage.write(persist)
