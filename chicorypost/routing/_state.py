"""The replicated state machine: stores the configuration with the highest version."""

from collections.abc import Callable

import msgspec

from chicorypost.base import Record, Version, pack_record, unpack_record
from chicorypost.routing._document import InvalidRouting, RoutingDocument

NO_VERSION = Version(0)

ConfigurationReader = Callable[[bytes], RoutingDocument | InvalidRouting]


class StoredConfiguration(Record, frozen=True, array_like=True):
    """A configuration as stored in the log: its version and the original bytes of the operator."""

    version: Version
    original: bytes


class RoutingState:
    """Holds the configuration with the highest version.

    Parameters
    ----------
    read : callable
        Parses a configuration from the original bytes.
    """

    def __init__(self, read: ConfigurationReader) -> None:
        self.read = read
        self.stored = StoredConfiguration(NO_VERSION, b"")
        self.document: RoutingDocument | None = None
        self.unreadable: InvalidRouting | None = None
        """Why the stored configuration can't be read; None if `document` is the stored one."""

    @property
    def version(self) -> Version:
        """Version of the applied configuration; 0 before the first one."""
        return self.stored.version

    def apply(self, command: bytes) -> bool:
        """Apply a committed command; return whether it changed the configuration in force.

        A command whose version isn't higher than the applied one is ignored, whatever its content.
        A configuration that this build can't read is stored and isn't put in force.
        """
        return self._apply_bytes(command)

    def snapshot(self) -> bytes:
        """Return the serialised state for a snapshot of the log."""
        return pack_record(self.stored)

    def restore(self, data: bytes) -> bool:
        """Apply the state of a snapshot; return whether it changed the configuration."""
        return self._apply_bytes(data)

    def _apply_bytes(self, data: bytes) -> bool:
        try:
            stored = unpack_record(data, StoredConfiguration)
        except (ValueError, msgspec.ValidationError) as error:
            self.unreadable = InvalidRouting(str(error))
            return False
        return self._apply_if_newer(stored)

    def _apply_if_newer(self, stored: StoredConfiguration) -> bool:
        if stored.version <= self.version:
            return False
        self.stored = stored
        document = self.read(stored.original)
        if isinstance(document, InvalidRouting):
            # Another build has accepted it; the previous document stays in force here.
            self.unreadable = document
            return False
        self.document, self.unreadable = document, None
        return True


def make_store_command(document: RoutingDocument, original: bytes) -> bytes:
    """Return the log command that stores a configuration."""
    return pack_record(StoredConfiguration(document.version, original))
