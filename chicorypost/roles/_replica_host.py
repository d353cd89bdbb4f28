"""A replica whose disk may fail: it goes on without a vote and comes back when the disk does."""

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
)
from chicorypost.daemons import Engine
from chicorypost.events import Emit
from chicorypost.roles._events import DISK_FAILED, DISK_RECOVERED

DISK_RETRY_SECONDS = 0.5
"""Pause before a disk that refused is tried again."""


class DiskRecovered(Event, msgspec.Struct, frozen=True):
    """The data folder was read, and the disk takes writes."""

    recovered_state: RecoveredState


class DiskFailed(Event, msgspec.Struct, frozen=True):
    """A write failed: what is on the disk isn't known until it is read again."""

    reason: str


class ReplicaHost:
    """The replica while there is one; refuses proposals and reads while there is none.

    Parameters
    ----------
    settings : ReplicaSettings
        Settings of the replica.
    instance : InstanceId
        This instance.
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
        """Take one event and return the effects, in the order to carry them out."""
        match event:
            case DiskRecovered(recovered):
                self.replica = Replica(self.settings, self.instance, recovered, self.random, now)
                event = ContactsChanged(self.contacts)
            case DiskFailed():
                self.replica = None
                return []
            case ContactsChanged(contacts):
                self.contacts = contacts
        if self.replica is not None:
            return self.replica.handle(event, now)
        match event:
            case Propose(proposal) | ChangeMembership(proposal):
                return [ProposalRefused(proposal, ProposalRefusalReason.OUT_OF_TOUCH, None)]
            case Read(read):
                return [ReadRefused(read, ProposalRefusalReason.OUT_OF_TOUCH, None)]
        return []

    def next_deadline(self) -> Instant | None:
        """Return when the replica next wants a `Tick`."""
        return self.replica.next_deadline() if self.replica is not None else None

    def dump(self) -> dict[str, Any]:
        """Return the whole decision state as values that JSON can hold."""
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
    """Carries out the writes of the replica in a thread, in order.

    Parameters
    ----------
    folder : Path
        The data folder.
    engine : Engine
        Told of finished writes, of failures and of recovery.
    emit : callable
        Takes log events.
    """

    def __init__(self, folder: Path, engine: Engine, emit: Callable[[Emit], None]) -> None:
        self.folder = folder
        self.engine = engine
        self.emit = emit
        self.storage: ReplicaStorage | None = None
        self.write_queue: deque[Persist] = deque()
        self.work_available = trio.Event()

    def queue_write(self, persist: Persist) -> None:
        """Queue a write."""
        self.write_queue.append(persist)
        self.work_available.set()

    async def run(self) -> None:
        """Recover the data folder and write until cancelled, again after each failure."""
        failed = ""
        while True:
            try:
                recovered = await trio.to_thread.run_sync(
                    self._recover_storage, abandon_on_cancel=True
                )
                if isinstance(recovered, StorageDamage):
                    raise OSError(f"{recovered.kind.value}: {recovered.file}: {recovered.detail}")
                failed = ""
                self.write_queue.clear()
                self.emit(DISK_RECOVERED.emit(generation=recovered.generation))
                self.engine.post(DiskRecovered(recovered))
                await self._process_writes()
            except OSError as error:
                if str(error) != failed:
                    self.emit(DISK_FAILED.emit(reason=str(error)))
                failed = str(error)
                self.engine.post(DiskFailed(failed))
            await trio.sleep(DISK_RETRY_SECONDS)

    def _recover_storage(self) -> RecoveredState | StorageDamage:
        files = self.storage.files if self.storage is not None else None
        self.storage = ReplicaStorage(self.folder, files)
        return self.storage.recover()

    async def _process_writes(self) -> None:
        while True:
            self.work_available = trio.Event()
            if not self.write_queue:
                await self.work_available.wait()
            batch = list(self.write_queue)
            self.write_queue.clear()
            await trio.to_thread.run_sync(self._write_batch, batch, abandon_on_cancel=True)
            self.engine.post(Persisted(batch[-1].write_number))

    def _write_batch(self, batch: list[Persist]) -> None:
        assert self.storage is not None
        for persist in batch:
            self.storage.write(persist)
