"""The log in memory, with the membership that each entry implies."""

from collections.abc import Iterable

from chicorypost.base import LogIndex, Term, unpack_record
from chicorypost.consensus._records import (
    ClusterMembership,
    Entry,
    EntryKind,
    Snapshot,
)


class Log:
    """Entries after a base; the base is index and term of the last entry that was dropped.

    Parameters
    ----------
    base : Snapshot
        Index, term and membership before the first entry; its data isn't kept.
    entries : iterable of Entry
        Entries after the base.
    """

    def __init__(self, base: Snapshot, entries: Iterable[Entry] = ()) -> None:
        self.base_index = base.index
        self.base_term = base.term
        self.memberships = [(base.index, base.membership)]
        self.entries: list[Entry] = []
        self.append(entries)

    @property
    def last_index(self) -> LogIndex:
        """Index of the last entry."""
        return LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> Term:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def membership(self) -> ClusterMembership:
        """The latest membership, whether committed or not."""
        return self.memberships[-1][1]

    @property
    def membership_index(self) -> LogIndex:
        """Index from which the latest membership holds."""
        return self.memberships[-1][0]

    def membership_at(self, index: LogIndex) -> ClusterMembership:
        """Return the membership after the entry at `index`, which is not before the base."""
        return next(members for start, members in reversed(self.memberships) if start <= index)

    def term_at(self, index: LogIndex) -> Term | None:
        """Return the term of the entry at `index`, or None if it isn't known."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def entry_at(self, index: LogIndex) -> Entry:
        """Return the entry at `index`, which must be after the base."""
        assert index > self.base_index
        return self.entries[index - self.base_index - 1]

    def read_from(self, index: LogIndex, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from `index` on: at least one if there is one, then up to the bound."""
        chosen: list[Entry] = []
        size = 0
        for position in range(index - self.base_index - 1, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.command)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def last_index_of_lower_term(self, index: LogIndex) -> LogIndex:
        """Return the last index before `index` whose term is lower than that of `index`."""
        term = self.term_at(index)
        assert term is not None
        while index > self.base_index and self.term_at(index) == term:
            index = LogIndex(index - 1)
        return index

    def append(self, entries: Iterable[Entry]) -> None:
        """Append entries; those with an equal or greater index are replaced."""
        for entry in entries:
            if entry.index <= self.last_index:
                self.truncate(entry.index)
            assert entry.index == self.last_index + 1
            self.entries.append(entry)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.memberships.append(
                    (entry.index, unpack_record(entry.command, ClusterMembership))
                )

    def truncate(self, index: LogIndex) -> None:
        """Drop the entry at `index` and all after it."""
        assert index > self.base_index
        del self.entries[index - self.base_index - 1 :]
        self.memberships = [item for item in self.memberships if item[0] < index]

    def compact_through(self, index: LogIndex) -> None:
        """Move the base up to `index`."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None
        membership = self.membership_at(index)
        later = [item for item in self.memberships if item[0] > index]
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        self.memberships = [(index, membership), *later]
