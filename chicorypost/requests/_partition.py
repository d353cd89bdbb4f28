"""What an instance holds of one partition, and how a new view changes that."""

from dataclasses import dataclass, field
from enum import Enum

from chicorypost.requests._placement import MemberKey, PartitionPlacement

NO_EPOCH = -1


class PartitionRole(Enum):
    """Role of an instance in a partition."""

    LOADING = "loading"
    """Owner that does not have the records yet and decides nothing."""
    ACTIVE = "active"
    """Owner that decides."""
    SYNCING = "filling"
    """Backup whose copy is not complete."""
    BACKUP = "backup"
    """Backup whose copy is complete."""
    RETIRED = "former"
    """Neither any more; keeps its copy until owner and backup have theirs."""


@dataclass(slots=True)
class Partition:
    """One partition as an instance holds it.

    Parameters
    ----------
    number : int
        The partition.
    role : Role
        Role in the current view.
    complete_until : int
        Epoch of the view in which this copy ceased to be that of a deciding owner or of its
        backup; -1 if it never was one or may have missed decisions.
    idle_from, idle_until : int
        Epochs of the views in which this instance began and ceased to own the partition without
        deciding; -1 if none.
    floor : float
        Wall time; a key made no later than it that has no record may have run.
    opaque_until : float
        Wall time until which a key without a time that has no record may have run.
    synced : bool
        Whether the backup of an active owner has all records.
    filled_in : int
        Epoch in which the owner began to fill this backup.
    unreleased : set of MemberKey
        Former backups that may not know yet that they aren't any more.
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
        """Whether this instance owns the partition, deciding or not."""
        return self.role in (PartitionRole.LOADING, PartitionRole.ACTIVE)


def apply_view(
    partition: Partition,
    self_key: MemberKey,
    former: PartitionPlacement | None,
    current: PartitionPlacement,
) -> None:
    """Move a partition to a new view.

    Parameters
    ----------
    partition : Partition
        The partition as held in the former view.
    self_key : MemberKey
        This instance.
    former, current : Placement
        The views; `former` is None unless this instance has held its lease ever since it was
        installed, and so was a member of every view in between, even of those it didn't see.

    Notes
    -----
    A backup succeeds its owner at once: the view that excludes the owner is installed only when
    the owner's lease has ended, and the owner decided nothing that the backup doesn't have.
    """
    epoch = current.view.epoch
    role = next_role(partition, self_key, former, current)
    if partition.role in (PartitionRole.ACTIVE, PartitionRole.BACKUP):
        partition.complete_until = epoch if former is not None else NO_EPOCH
    if partition.role is PartitionRole.LOADING:
        partition.inactive_until = epoch
        if former is None:
            partition.inactive_from = partition.inactive_until = NO_EPOCH
    if role is PartitionRole.LOADING and partition.role is not PartitionRole.LOADING:
        partition.inactive_from = NO_EPOCH
    if role is PartitionRole.LOADING and partition.inactive_from == NO_EPOCH:
        partition.inactive_from = epoch
    if role is PartitionRole.ACTIVE:
        _track_backup_change(partition, former, current)
    partition.role = role


def next_role(
    partition: Partition,
    self_key: MemberKey,
    former: PartitionPlacement | None,
    current: PartitionPlacement,
) -> PartitionRole:
    """Return the role of this instance in a new view; see `apply_view`."""
    number = partition.number
    if current.owner(number) == self_key:
        has_all = partition.role in (PartitionRole.ACTIVE, PartitionRole.BACKUP)
        return PartitionRole.ACTIVE if former is not None and has_all else PartitionRole.LOADING
    if current.backup(number) == self_key:
        same_owner = former is not None and former.owner(number) == current.owner(number)
        return (
            PartitionRole.BACKUP
            if partition.role is PartitionRole.BACKUP and same_owner
            else PartitionRole.SYNCING
        )
    return PartitionRole.RETIRED


def _track_backup_change(
    partition: Partition, former: PartitionPlacement | None, current: PartitionPlacement
) -> None:
    """Note that the backup has changed and has to be filled, and who was it before."""
    was_active = partition.role is PartitionRole.ACTIVE
    before = former.backup(partition.number) if former is not None and was_active else None
    backup = current.backup(partition.number)
    partition.is_backup_synced = partition.is_backup_synced and was_active and before == backup
    if before is not None:
        partition.stale_backups.add(before)
    partition.stale_backups = {
        each for each in partition.stale_backups if each in current and each != backup
    }


def is_complete(complete_until: int, idle: list[tuple[int, int]], epoch: int) -> bool:
    """Return whether a copy holds all that was decided before a view.

    Parameters
    ----------
    complete_until : int
        Epoch of the view in which the copy ceased to be current; -1 without a copy.
    idle : list of (int, int)
        Epochs of the views in which an owner began and ceased to own without deciding.
    epoch : int
        Epoch of the view whose owner asks.

    Notes
    -----
    Epochs are only compared: how far apart they are means nothing.
    """
    reached = complete_until
    while NO_EPOCH < reached < epoch:
        ends = [until for start, until in idle if start <= reached < until]
        if not ends:
            return False
        reached = max(ends)
    return reached >= epoch
