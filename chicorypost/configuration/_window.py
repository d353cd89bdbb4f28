"""The latest configurations of one holder and the deltas between them."""

from typing import Any

import json_merge_patch
import msgspec

from chicorypost.base import Version, hash64
from chicorypost.configuration._messages import (
    ConfigurationCurrent,
    ConfigurationDelta,
    ConfigurationFull,
    ConfigurationReply,
    ReplyHeader,
)


def encode_value(value: Any) -> bytes:
    """Return the JSON form of a value; equal values have equal forms."""
    return msgspec.json.encode(value, order="deterministic")


def decode_value(data: bytes) -> Any:
    """Return the value of a JSON text.

    Raises
    ------
    msgspec.DecodeError
        If the text is not JSON.
    """
    return msgspec.json.decode(data)


def compute_digest(value: Any) -> int:
    """Return the digest by which two holders compare a document."""
    return hash64(encode_value(value))


def make_delta(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON Merge Patch from one document without nulls to another."""
    delta: dict[str, Any] = json_merge_patch.create_patch(old, new)
    return delta


def apply_delta(document: dict[str, Any], delta: dict[str, Any]) -> dict[str, Any]:
    """Return the document changed by a delta, sharing what the delta leaves alone."""
    result = dict(document)
    for key, change in delta.items():
        if change is None:
            result.pop(key, None)
        elif isinstance(change, dict):
            before = result.get(key)
            result[key] = apply_delta(before if isinstance(before, dict) else {}, change)
        else:
            result[key] = change
    return result


class DocumentWindow:
    """The current configuration and its recent predecessors.

    Parameters
    ----------
    capacity : int
        How many versions are kept.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.version = Version(0)
        self.document: dict[str, Any] = {}
        self.digest = compute_digest({})
        self.recent_versions: dict[Version, tuple[dict[str, Any], int]] = {}
        self._deltas: dict[Version, bytes] = {}
        self._encoded_document = encode_value({})
        self.recent_versions[self.version] = (self.document, self.digest)

    def add_version(self, version: Version, value: dict[str, Any]) -> None:
        """Make a later version the current one."""
        assert version > self.version, f"version goes back: got {version}, after {self.version}"
        self._encoded_document = encode_value(value)
        self.version, self.document, self.digest = version, value, hash64(self._encoded_document)
        self.recent_versions[version] = (value, self.digest)
        self._deltas = {}
        while len(self.recent_versions) > self.capacity:
            del self.recent_versions[next(iter(self.recent_versions))]

    def make_reply(self, version: Version, digest: int, head: ReplyHeader) -> ConfigurationReply:
        """Return what brings a holder of the given version to the current one."""
        if version > self.version:
            return ConfigurationCurrent(head, self.version, self.digest)
        known = self.recent_versions.get(version)
        if known is None or known[1] != digest:
            return ConfigurationFull(head, self.version, self.digest, self._encoded_document)
        if version == self.version:
            return ConfigurationCurrent(head, self.version, self.digest)
        return self._make_delta_or_full(version, known[0], head)

    def _make_delta_or_full(
        self, base: Version, value: dict[str, Any], head: ReplyHeader
    ) -> ConfigurationReply:
        delta = self._deltas.get(base)
        if delta is None:
            delta = encode_value(make_delta(value, self.document))
            self._deltas[base] = delta
        if len(delta) >= len(self._encoded_document):
            return ConfigurationFull(head, self.version, self.digest, self._encoded_document)
        return ConfigurationDelta(head, base, self.version, self.digest, delta)
