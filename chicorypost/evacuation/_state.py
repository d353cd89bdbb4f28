"""The replicated state machine of evacuations."""

from enum import Enum

import msgspec

from chicorypost.base import DataCentreId, unpack_record
from chicorypost.evacuation._commands import EvacuationCommand
from chicorypost.evacuation._records import (
    MAX_DATA_CENTRES,
    NO_REVISION,
    Evacuations,
    Revision,
    is_possible_name,
)
from chicorypost.evacuation._snapshots import EvacuationEntry, EvacuationSnapshot


class OrderOutcome(Enum):
    """What a committed command did."""

    TAKEN = "taken"
    """The data centre is as ordered, and its entry has a new revision."""
    OUTDATED = "outdated"
    """Nothing: another order has taken effect since the proposer read the entry."""
    TOO_MANY = "too-many"
    """`MAX_DATA_CENTRES` are evacuated already; only the revision of the others has changed."""


class OrderApplied(msgspec.Struct, frozen=True):
    """A committed command was applied on this instance."""

    order_id: str
    outcome: OrderOutcome


class UnreadableOrder(msgspec.Struct, frozen=True):
    """Why this build can't read a committed command."""

    detail: str


class EvacuationState:
    """Which data centres are evacuated, with a revision for each entry.

    Notes
    -----
    A command that takes effect gives its entry a new revision, also if the data centre was in that
    state already. Otherwise a command with the opposite order that was proposed earlier and commits
    later would still find the revision that it expects, and undo the later order.

    Replicas apply the same commands in the same order, so a state with a higher total revision is
    always the later one. A state never goes back to an earlier one, also when a replica restarts
    within a process and applies its log again.
    """

    def __init__(self) -> None:
        self.revision = NO_REVISION
        """Total revision: that of the last command that took effect or was refused."""
        self.forgotten_revision = NO_REVISION
        """Revision of each data centre without an entry; not lower than that of any entry that was
        removed, so that a late command for a removed entry is outdated too."""
        self.entries: dict[DataCentreId, EvacuationEntry] = {}

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated data centres and the total revision."""
        names = [entry.data_centre for entry in self.entries.values() if entry.is_evacuated]
        return Evacuations(self.revision, tuple(sorted(names)))

    def is_evacuated(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre is evacuated."""
        entry = self.entries.get(data_centre)
        return entry is not None and entry.is_evacuated

    def make_command(
        self, order_id: str, data_centre: DataCentreId, is_evacuated: bool
    ) -> EvacuationCommand:
        """Return the command for an order, based on the state applied here."""
        revision = self._get_revision(data_centre)
        return EvacuationCommand(order_id, data_centre, is_evacuated, revision)

    def apply(self, data: bytes) -> OrderApplied | UnreadableOrder:
        """Apply a committed command and return what it did."""
        try:
            command = unpack_record(data, EvacuationCommand)
        except (ValueError, msgspec.ValidationError) as error:
            return UnreadableOrder(str(error))
        if not is_possible_name(command.data_centre):
            return UnreadableOrder("data_centre has an impossible length")
        return OrderApplied(command.order_id, self._apply_command(command))

    def snapshot(self) -> EvacuationSnapshot:
        """Return the state for a snapshot of the log."""
        return EvacuationSnapshot(
            self.revision, self.forgotten_revision, tuple(self.entries.values())
        )

    def restore(self, snapshot: EvacuationSnapshot) -> None:
        """Replace the state with that of a snapshot, unless the snapshot is older."""
        if snapshot.revision <= self.revision:
            return
        self.revision = snapshot.revision
        self.forgotten_revision = snapshot.forgotten_revision
        self.entries = {entry.data_centre: entry for entry in snapshot.entries}

    def _get_revision(self, data_centre: DataCentreId) -> Revision:
        entry = self.entries.get(data_centre)
        return entry.revision if entry is not None else self.forgotten_revision

    def _apply_command(self, command: EvacuationCommand) -> OrderOutcome:
        name = command.data_centre
        if command.expected_revision != self._get_revision(name):
            return OrderOutcome.OUTDATED
        if name not in self.entries and not self._make_room():
            # The new revision makes the command outdated for a replica that applies its log again:
            # an entry may have become removable since.
            self.revision = self.forgotten_revision = Revision(self.revision + 1)
            return OrderOutcome.TOO_MANY
        self.revision = Revision(self.revision + 1)
        self.entries[name] = EvacuationEntry(name, self.revision, command.is_evacuated)
        return OrderOutcome.TAKEN

    def _make_room(self) -> bool:
        """Remove the oldest entry that isn't evacuated if necessary; return whether there is room.

        Every replica removes the same entry, since the revisions are part of the state.
        """
        if len(self.entries) < MAX_DATA_CENTRES:
            return True
        removable = [entry for entry in self.entries.values() if not entry.is_evacuated]
        if not removable:
            return False
        removed = min(removable, key=lambda entry: entry.revision)
        del self.entries[removed.data_centre]
        self.forgotten_revision = max(self.forgotten_revision, removed.revision)
        return True
