"""Writes under way to the disk, and the effects that wait for them."""

from collections import deque

from chicorypost.base import Effect, LogIndex
from chicorypost.consensus._interface import Persist
from chicorypost.consensus._records import Entry, HardState, Snapshot


class WriteQueue:
    """Gathers what one event changes into one write, and holds effects until it is synced.

    Parameters
    ----------
    durable_index : LogIndex
        Last entry on the disk at the start.
    """

    def __init__(self, durable_index: LogIndex) -> None:
        self.durable_index = durable_index
        self.last_issued = 0
        self.last_persisted = 0
        self.hard_state: HardState | None = None
        self.snapshot: Snapshot | None = None
        self.discard_log = False
        self.entries: list[Entry] = []
        self.staged_effects: list[Effect] = []
        self.held_effects: deque[tuple[int, Effect]] = deque()
        self.unsynced_last_indexes: deque[tuple[int, LogIndex]] = deque()

    @property
    def has_staged_changes(self) -> bool:
        """Whether the current event has changed anything durable."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)

    @property
    def covering_write_number(self) -> int:
        """Number of the write that covers all that has been staged so far."""
        return self.last_issued + 1 if self.has_staged_changes else self.last_issued

    def stage_entries(self, entries: tuple[Entry, ...]) -> None:
        """Stage entries; the first one replaces all from its index on."""
        if not entries:
            return
        first = entries[0].index
        self.entries = [entry for entry in self.entries if entry.index < first]
        self.entries.extend(entries)
        self.limit_durable_index(LogIndex(first - 1))

    def limit_durable_index(self, index: LogIndex) -> None:
        """Forget the durability of entries after `index`, since they have been replaced."""
        self.durable_index = min(self.durable_index, index)
        self.unsynced_last_indexes = deque(
            (write, min(last, index)) for write, last in self.unsynced_last_indexes
        )

    def hold_effect(self, effect: Effect) -> None:
        """Keep an effect back until everything changed so far is synced."""
        self.staged_effects.append(effect)

    def flush(self, last_index: LogIndex, commit_index: LogIndex) -> list[Effect]:
        """Return the `Persist` effect of what was staged, and held effects that need not wait."""
        effects: list[Effect] = []
        if self.has_staged_changes:
            self.last_issued += 1
            self.unsynced_last_indexes.append((self.last_issued, last_index))
            effects.append(self._make_persist(commit_index))
        if self.last_persisted >= self.last_issued:
            effects.extend(self.staged_effects)
        else:
            self.held_effects.extend((self.last_issued, effect) for effect in self.staged_effects)
        self.staged_effects = []
        return effects

    def confirm_write(self, write: int) -> list[Effect]:
        """Note that a write is synced; return the effects that waited for it."""
        assert write <= self.last_issued
        self.last_persisted = max(self.last_persisted, write)
        while self.unsynced_last_indexes and self.unsynced_last_indexes[0][0] <= write:
            self.durable_index = max(self.durable_index, self.unsynced_last_indexes.popleft()[1])
        released = []
        while self.held_effects and self.held_effects[0][0] <= write:
            released.append(self.held_effects.popleft()[1])
        return released

    def _make_persist(self, commit_index: LogIndex) -> Persist:
        persist = Persist(
            self.last_issued,
            self.hard_state,
            self.snapshot,
            self.discard_log,
            tuple(self.entries),
            commit_index,
        )
        self.hard_state = None
        self.snapshot = None
        self.discard_log = False
        self.entries = []
        return persist
