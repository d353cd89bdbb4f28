"""The data folder of a replica: identity, hard state, log and snapshot."""

from pathlib import Path

from chicorypost.consensus._interface import Persist, RecoveredState, StorageDamage


class ReplicaStorage:
    """The data folder of one replica.

    Parameters
    ----------
    folder : Path
        Where the files live; made if missing.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    def recover(self) -> RecoveredState | StorageDamage:
        """Read what earlier writes left, cutting an interrupted last write."""
        raise NotImplementedError

    def write(self, persist: Persist) -> None:
        """Carry out one write; on return it is synced, file and folder.

        Raises
        ------
        OSError
            If the disk fails. The process must stop: what is on the disk is not known any more.
        """
        raise NotImplementedError
