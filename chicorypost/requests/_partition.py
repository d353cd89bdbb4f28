"""State of one partition at an instance, and its transitions at view changes."""

from dataclasses import dataclass, field
from enum import Enum

from chicorypost.requests._placement import MemberKey, PartitionPlacement

NO_EPOCH = -1


class PartitionRole(Enum):
    """Role of an instance in a partition."""

    LOADING = "loading"
    """Owner that is still loading the records and makes no decisions."""
    ACTIVE = "active"
    """Owner that makes decisions."""
    SYNCING = "filling"
    """Backup whose copy is incomplete."""
    BACKUP = "backup"
    """Backup whose copy is complete."""
    RETIRED = "former"
    """Neither owner nor backup; keeps its copy until both have a complete one."""


@dataclass(slots=True)
class Partition:
    """State of one partition at an instance.

    Parameters
    ----------
    number : int
        Number of the partition.
    role : PartitionRole
        Role in the current view.
    complete_until : int
        Epoch of the view in which this copy ceased to be that of an active owner or of its
        backup; -1 if it never was one or may have missed decisions.
    inactive_from, inactive_until : int
        Epochs of the views in which this instance began and ceased to own the partition without
        making decisions; -1 if none.
    key_time_floor : float
        Wall-clock time, in seconds; a key created at or before it may have run even if it has no
        record.
    opaque_keys_unsafe_until : float
        Wall-clock time, in seconds, until which a key without a timestamp may have run even if it
        has no record.
    is_backup_synced : bool
        Whether the backup of an active owner has all records.
    sync_epoch : int
        Epoch in which the owner began to synchronise this backup.
    stale_backups : set of MemberKey
        Previous backups that may not have installed the view that replaced them.
    """

    number: int
    role: PartitionRole
    complete_until: int = NO_EPOCH
    inactive_from: int = NO_EPOCH
    inactive_until: int = NO_EPOCH
    key_time_floor: float = 0.0
    opaque_keys_unsafe_until: float = 0.0
    is_backup_synced: bool = False
    sync_epoch: int = NO_EPOCH
    stale_backups: set[MemberKey] = field(default_factory=set)

    @property
    def is_owned(self) -> bool:
        """Whether this instance owns the partition, loading or active."""
        return self.role in (PartitionRole.LOADING, PartitionRole.ACTIVE)


def apply_view(
    partition: Partition,
    self_key: MemberKey,
    previous: PartitionPlacement | None,
    current: PartitionPlacement,
) -> None:
    """Move a partition to a new view.

    Parameters
    ----------
    partition : Partition
        State of the partition in the previous view.
    self_key : MemberKey
        This instance.
    previous, current : PartitionPlacement
        The views; `previous` is None unless this instance has held its lease ever since that view
        was installed, and so was a member of every view in between, including those it missed.

    Notes
    -----
    A backup becomes the active owner at once: the view that excludes the owner is installed only
    after the owner's lease has ended, and the backup has every decision of the owner.
    """
    epoch = current.view.epoch
    role = next_role(partition, self_key, previous, current)
    if partition.role in (PartitionRole.ACTIVE, PartitionRole.BACKUP):
        partition.complete_until = epoch if previous is not None else NO_EPOCH
    if partition.role is PartitionRole.LOADING:
        partition.inactive_until = epoch
        if previous is None:
            partition.inactive_from = partition.inactive_until = NO_EPOCH
    if role is PartitionRole.LOADING and partition.role is not PartitionRole.LOADING:
        partition.inactive_from = NO_EPOCH
    if role is PartitionRole.LOADING and partition.inactive_from == NO_EPOCH:
        partition.inactive_from = epoch
    if role is PartitionRole.ACTIVE:
        _track_backup_change(partition, previous, current)
    partition.role = role


def next_role(
    partition: Partition,
    self_key: MemberKey,
    previous: PartitionPlacement | None,
    current: PartitionPlacement,
) -> PartitionRole:
    """Return the role of this instance in a new view; see `apply_view`."""
    number = partition.number
    if current.owner(number) == self_key:
        has_all = partition.role in (PartitionRole.ACTIVE, PartitionRole.BACKUP)
        return PartitionRole.ACTIVE if previous is not None and has_all else PartitionRole.LOADING
    if current.backup(number) == self_key:
        same_owner = previous is not None and previous.owner(number) == current.owner(number)
        return (
            PartitionRole.BACKUP
            if partition.role is PartitionRole.BACKUP and same_owner
            else PartitionRole.SYNCING
        )
    return PartitionRole.RETIRED


def _track_backup_change(
    partition: Partition, previous: PartitionPlacement | None, current: PartitionPlacement
) -> None:
    """Mark a changed backup as unsynchronised and add the previous one to the stale backups."""
    was_active = partition.role is PartitionRole.ACTIVE
    previous_backup = (
        previous.backup(partition.number) if previous is not None and was_active else None
    )
    backup = current.backup(partition.number)
    partition.is_backup_synced = (
        partition.is_backup_synced and was_active and previous_backup == backup
    )
    if previous_backup is not None:
        partition.stale_backups.add(previous_backup)
    partition.stale_backups = {
        each for each in partition.stale_backups if each in current and each != backup
    }


def is_complete(complete_until: int, inactive_spans: list[tuple[int, int]], epoch: int) -> bool:
    """Return whether a copy has every decision that was made before a view.

    Parameters
    ----------
    complete_until : int
        Epoch of the view in which the copy ceased to be current; -1 without a copy.
    inactive_spans : list of (int, int)
        Epochs of the views in which an owner began and ceased to own the partition without making
        decisions.
    epoch : int
        Epoch of the view whose owner loads the partition.

    Notes
    -----
    Epochs are only compared; the distance between two epochs has no meaning.
    """
    complete_epoch = complete_until
    while NO_EPOCH < complete_epoch < epoch:
        ends = [until for start, until in inactive_spans if start <= complete_epoch < until]
        if not ends:
            return False
        complete_epoch = max(ends)
    return complete_epoch >= epoch
