"""Typed messages between processes and their msgpack encoding."""

from collections.abc import Iterator
from enum import Enum
from functools import cache
from typing import Any

import msgpack
import msgspec

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base of immutable values that travel inside messages."""


class Message(Record, frozen=True, array_like=True, tag=0):
    """Base of everything that one process sends to another.

    Each subclass passes ``tag=<int>`` in its class statement. The tag identifies the type on the
    wire and is unique: consensus 100-199, configuration 200-299, membership 300-399, flows
    400-499, upstreams 500-599, requests 600-699, transport 700-799, announcements 800-899.
    """


class DecodeFault(Enum):
    """Why bytes from a peer were not accepted as a message."""

    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    WRONG_VERSION = "wrong-version"
    UNKNOWN_TYPE = "unknown-type"
    INVALID_FIELD = "invalid-field"


class Undecodable(msgspec.Struct, frozen=True):
    """Result of decoding bytes that are not an acceptable message."""

    fault: DecodeFault
    detail: str


def encode(message: Message) -> bytes:
    """Encode a message with the wire version in front.

    Parameters
    ----------
    message : Message
        The message to encode.

    Returns
    -------
    bytes
        The msgpack form of ``[wire version, [tag, field, ...]]``.
    """
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    encoded: bytes = msgpack.packb([WIRE_VERSION, body])
    return encoded


def decode(data: bytes) -> Message | Undecodable:
    """Decode and validate one message.

    Parameters
    ----------
    data : bytes
        What a peer sent as one frame.

    Returns
    -------
    Message or Undecodable
        The typed message, or the reason why the bytes are refused.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        detail = f"message has {len(data)} bytes, at most {MAX_MESSAGE_BYTES} are allowed"
        return Undecodable(DecodeFault.TOO_LARGE, detail)
    try:
        envelope = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        return Undecodable(DecodeFault.MALFORMED, f"not msgpack: {error!r}")
    return _decode_envelope(envelope)


def _decode_envelope(envelope: Any) -> Message | Undecodable:
    if not isinstance(envelope, list) or len(envelope) != 2:
        return Undecodable(DecodeFault.MALFORMED, "envelope is not a list of two items")
    version, body = envelope
    if version != WIRE_VERSION:
        detail = f"wire version is {version!r}, allowed is {WIRE_VERSION}"
        return Undecodable(DecodeFault.WRONG_VERSION, detail)
    message_type = _find_message_type(body)
    if message_type is None:
        return Undecodable(DecodeFault.UNKNOWN_TYPE, "message type is not known")
    try:
        # Converting to the one type is much faster than to the union of all of them.
        return msgspec.convert(body, message_type)
    except (msgspec.ValidationError, RecursionError) as error:
        return Undecodable(DecodeFault.INVALID_FIELD, str(error))


def _find_message_type(body: Any) -> type[Message] | None:
    if not isinstance(body, list) or not body or not isinstance(body[0], int):
        return None
    return _types_by_tag().get(body[0])


def message_types() -> list[type[Message]]:
    """Return every message type that has been imported, in order of tag."""
    return sorted(_subclasses(Message), key=_tag_of)


def _subclasses(cls: type[Message]) -> Iterator[type[Message]]:
    for subclass in cls.__subclasses__():
        yield subclass
        yield from _subclasses(subclass)


def _tag_of(cls: type[Message]) -> int:
    tag = cls.__struct_config__.tag
    assert isinstance(tag, int)
    return tag


@cache
def _types_by_tag() -> dict[int, type[Message]]:
    return {_tag_of(cls): cls for cls in message_types()}
