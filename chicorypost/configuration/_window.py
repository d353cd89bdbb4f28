"""Recent versions of the configuration document and the deltas between them."""

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
    """Return the JSON encoding of a value; equal values have equal encodings."""
    return msgspec.json.encode(value, order="deterministic")


def decode_value(data: bytes) -> Any:
    """Return the value of JSON bytes.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not JSON.
    """
    return msgspec.json.decode(data)


def compute_digest(value: Any) -> int:
    """Return the digest by which two instances compare a document."""
    return hash64(encode_value(value))


def make_delta(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON Merge Patch between two documents that have no nulls."""
    delta: dict[str, Any] = json_merge_patch.create_patch(old, new)
    return delta


def apply_delta(document: dict[str, Any], delta: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of the document with the delta applied; unchanged values are shared."""
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
    """The current document and those of recent versions.

    Parameters
    ----------
    capacity : int
        Number of versions kept.
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
        """Add a later version and make it the current one."""
        assert version > self.version, f"version must be above {self.version}: got {version}"
        self._encoded_document = encode_value(value)
        self.version, self.document, self.digest = version, value, hash64(self._encoded_document)
        self.recent_versions[version] = (value, self.digest)
        self._deltas = {}
        while len(self.recent_versions) > self.capacity:
            del self.recent_versions[next(iter(self.recent_versions))]

    def make_reply(self, version: Version, digest: int, header: ReplyHeader) -> ConfigurationReply:
        """Return the reply that updates an instance from the given version to the current one."""
        if version > self.version:
            return ConfigurationCurrent(header, self.version, self.digest)
        recent = self.recent_versions.get(version)
        if recent is None or recent[1] != digest:
            return ConfigurationFull(header, self.version, self.digest, self._encoded_document)
        if version == self.version:
            return ConfigurationCurrent(header, self.version, self.digest)
        return self._make_delta_or_full(version, recent[0], header)

    def _make_delta_or_full(
        self, base: Version, value: dict[str, Any], header: ReplyHeader
    ) -> ConfigurationReply:
        delta = self._deltas.get(base)
        if delta is None:
            delta = encode_value(make_delta(value, self.document))
            self._deltas[base] = delta
        if len(delta) >= len(self._encoded_document):
            return ConfigurationFull(header, self.version, self.digest, self._encoded_document)
        return ConfigurationDelta(header, base, self.version, self.digest, delta)
