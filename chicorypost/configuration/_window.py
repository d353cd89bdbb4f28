"""The latest configurations of one holder and the deltas between them."""

from typing import Any

import json_merge_patch
import msgspec

from chicorypost.base import Version, hash64
from chicorypost.configuration._messages import (
    AnswerHead,
    ConfigurationAnswer,
    ConfigurationCurrent,
    ConfigurationDelta,
    ConfigurationFull,
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


def digest_of(value: Any) -> int:
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
        self.value: dict[str, Any] = {}
        self.digest = digest_of({})
        self.recent: dict[Version, tuple[dict[str, Any], int]] = {}
        self._deltas: dict[Version, bytes] = {}
        self._full = encode_value({})
        self.recent[self.version] = (self.value, self.digest)

    def add(self, version: Version, value: dict[str, Any]) -> None:
        """Make a later version the current one."""
        assert version > self.version, f"version goes back: got {version}, after {self.version}"
        self._full = encode_value(value)
        self.version, self.value, self.digest = version, value, hash64(self._full)
        self.recent[version] = (value, self.digest)
        self._deltas = {}
        while len(self.recent) > self.capacity:
            del self.recent[next(iter(self.recent))]

    def answer(self, version: Version, digest: int, head: AnswerHead) -> ConfigurationAnswer:
        """Return what brings a holder of the given version to the current one."""
        if version > self.version:
            return ConfigurationCurrent(head, self.version, self.digest)
        known = self.recent.get(version)
        if known is None or known[1] != digest:
            return ConfigurationFull(head, self.version, self.digest, self._full)
        if version == self.version:
            return ConfigurationCurrent(head, self.version, self.digest)
        return self._delta_or_full(version, known[0], head)

    def _delta_or_full(
        self, base: Version, value: dict[str, Any], head: AnswerHead
    ) -> ConfigurationAnswer:
        delta = self._deltas.get(base)
        if delta is None:
            delta = encode_value(make_delta(value, self.value))
            self._deltas[base] = delta
        if len(delta) >= len(self._full):
            return ConfigurationFull(head, self.version, self.digest, self._full)
        return ConfigurationDelta(head, base, self.version, self.digest, delta)
