"""The replicated application: the configuration with the highest version."""

from collections.abc import Callable

from chicorypost.base import Record, Version, pack_record, unpack_record
from chicorypost.routing._document import InvalidRouting, RoutingDocument

NO_VERSION = Version(0)

ConfigurationReader = Callable[[bytes], RoutingDocument | InvalidRouting]


class StoredConfiguration(Record, frozen=True, array_like=True):
    """A configuration as the log holds it: its version and the bytes that the operator sent."""

    version: Version
    original: bytes


class RoutingState:
    """The newest configuration; of several the one with the highest version stays.

    Parameters
    ----------
    read : callable
        Reads a configuration from the operator's bytes.
    """

    def __init__(self, read: ConfigurationReader) -> None:
        self.read = read
        self.stored = StoredConfiguration(NO_VERSION, b"")
        self.document: RoutingDocument | None = None

    @property
    def version(self) -> Version:
        """Version in force; 0 before the first configuration."""
        return self.stored.version

    def apply(self, command: bytes) -> bool:
        """Apply a committed command; return whether it changed the configuration.

        A version that isn't higher than the one in force changes nothing, whatever its content.
        """
        return self._apply_if_newer(unpack_record(command, StoredConfiguration))

    def snapshot(self) -> bytes:
        """Return the state for a snapshot of the log."""
        return pack_record(self.stored)

    def restore(self, data: bytes) -> bool:
        """Take the state of a snapshot; return whether it changed the configuration."""
        return self._apply_if_newer(unpack_record(data, StoredConfiguration))

    def _apply_if_newer(self, stored: StoredConfiguration) -> bool:
        if stored.version <= self.version:
            return False
        document = self.read(stored.original)
        assert isinstance(document, RoutingDocument), f"the log holds a bad document: {document}"
        self.stored = stored
        self.document = document
        return True


def make_store_command(document: RoutingDocument, original: bytes) -> bytes:
    """Return the log command that stores a configuration."""
    return pack_record(StoredConfiguration(document.version, original))
