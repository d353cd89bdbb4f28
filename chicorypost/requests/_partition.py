"""What an instance holds of one partition, and how a new view changes that."""

from dataclasses import dataclass
from enum import Enum

from chicorypost.requests._placement import MemberKey, Placement

NO_EPOCH = -1


class Role(Enum):
    """Role of an instance in a partition."""

    LOADING = "loading"
    """Owner that does not have the records yet and decides nothing."""
    ACTIVE = "active"
    """Owner that decides."""
    FILLING = "filling"
    """Backup whose copy is not complete."""
    BACKUP = "backup"
    """Backup whose copy is complete."""
    FORMER = "former"
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
    valid_through : int
        Last epoch in which this copy was known to be complete; -1 if it never was.
    idle_from, idle_to : int
        Epochs in which this instance owned the partition without deciding; -1 if none.
    floor : float
        Wall time; a key made no later than it that has no record may have run.
    opaque_until : float
        Wall time until which a key without a time that has no record may have run.
    synced : bool
        Whether the backup of an active owner has all records.
    filled_in : int
        Epoch in which the owner began to fill this backup.
    """

    number: int
    role: Role
    valid_through: int = NO_EPOCH
    idle_from: int = NO_EPOCH
    idle_to: int = NO_EPOCH
    floor: float = 0.0
    opaque_until: float = 0.0
    synced: bool = False
    filled_in: int = NO_EPOCH

    @property
    def is_owned(self) -> bool:
        """Whether this instance owns the partition, deciding or not."""
        return self.role in (Role.LOADING, Role.ACTIVE)


def next_role(
    partition: Partition,
    self_key: MemberKey,
    former: Placement | None,
    current: Placement,
) -> Role:
    """Return the role of this instance in a new view.

    Parameters
    ----------
    partition : Partition
        The partition as held in the former view.
    self_key : MemberKey
        This instance.
    former, current : Placement
        The views; `former` is None unless it directly precedes `current`. In a view that was
        missed another owner may have decided, so no copy is taken to be complete over a gap.

    Notes
    -----
    A backup succeeds its owner at once: the view that excludes the owner is installed only when
    the owner's lease has ended, and the owner decided nothing that the backup doesn't have.
    """
    number = partition.number
    if current.owner(number) == self_key:
        continues = partition.role is Role.ACTIVE
        succeeds = partition.role is Role.BACKUP
        return Role.ACTIVE if former is not None and (continues or succeeds) else Role.LOADING
    if current.backup(number) == self_key:
        same_owner = former is not None and former.owner(number) == current.owner(number)
        return Role.BACKUP if partition.role is Role.BACKUP and same_owner else Role.FILLING
    return Role.FORMER


def apply_view(
    partition: Partition,
    self_key: MemberKey,
    former: Placement | None,
    current: Placement,
) -> None:
    """Move a partition to a new view."""
    role = next_role(partition, self_key, former, current)
    epoch = current.view.position
    stayed_loading = partition.role is Role.LOADING and former is not None
    if partition.role is Role.LOADING:
        partition.idle_to = former.view.position if former is not None else partition.idle_to
    if role is Role.LOADING and not stayed_loading:
        partition.idle_from = partition.idle_to = NO_EPOCH
    if role is Role.ACTIVE:
        same_backup = former is not None and former.backup(partition.number) == current.backup(
            partition.number
        )
        partition.synced = same_backup and partition.synced and partition.role is Role.ACTIVE
    if role in (Role.ACTIVE, Role.BACKUP):
        partition.valid_through = epoch
    if role is Role.LOADING and partition.idle_from == NO_EPOCH:
        partition.idle_from = epoch
    partition.role = role


def is_complete(best: int, idle: list[tuple[int, int]], epoch: int) -> bool:
    """Return whether a copy valid through one epoch holds all that was decided before another.

    Parameters
    ----------
    best : int
        Last epoch through which the copy is complete; -1 without a copy.
    idle : list of (int, int)
        First and last epochs in which an owner is known to have decided nothing.
    epoch : int
        The epoch whose owner asks.
    """
    if best == NO_EPOCH:
        return False
    missing = range(best + 1, epoch)
    return all(any(first <= each <= last for first, last in idle) for each in missing)
