"""The few file operations that the storage needs, so that tests can interrupt each of them."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

LOCK_FILE = "lock"


class FileSystem(Protocol):
    """Files of one folder.

    What was written to a file survives a crash only after `sync`; that a file exists, has a new
    name or is gone survives only after `sync_folder`.
    """

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, making it if it is missing."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def rename(self, old: str, new: str) -> None:
        """Give a file a new name, replacing a file that has it."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""

    def close(self) -> None:
        """Give the folder free for another process."""


class DiskFileSystem:
    """A folder on the disk, locked against a second process.

    Parameters
    ----------
    folder : Path
        The folder; it is made, durably, if it is missing.

    Raises
    ------
    BlockingIOError
        If another process has the folder.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        if not folder.is_dir():
            folder.mkdir(parents=True)
            _sync_path(folder.parent)
        self.lock = open(folder / LOCK_FILE, "ab")  # noqa: SIM115 held while the process runs
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def close(self) -> None:
        """Give the folder free for another process."""
        self.lock.close()

    def list_files(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(path.name for path in self.folder.iterdir() if path.name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, making it if it is missing."""
        with open(self.folder / name, "ab") as file:
            file.write(data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to `size` bytes."""
        os.truncate(self.folder / name, size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        _sync_path(self.folder / name)

    def rename(self, old: str, new: str) -> None:
        """Give a file a new name, replacing a file that has it."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        _sync_path(self.folder)


def _sync_path(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
