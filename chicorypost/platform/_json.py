"""Strict decoding of JSON that other programs write."""

from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

MAX_NESTING = 32
"""Levels of arrays and objects in a body. Far more than any message has, and far below the
recursion limit of the decoder, so that every process comes to the same result."""
MAX_SCANNED_BYTES = 256 * 1024
"""Length of the part of an unreadable body in which the field at fault is looked for."""

Decoded = TypeVar("Decoded")


def decode_json(body: bytes, decoded_type: type[Decoded]) -> Decoded:
    """Decode a JSON object and check all of it, including fields that the type doesn't name.

    Parameters
    ----------
    body : bytes
        The JSON text.
    decoded_type : type
        Class with the fields to read.

    Returns
    -------
    object
        Instance of `decoded_type`.

    Raises
    ------
    ValueError
        If the text isn't JSON, is nested too deeply, or doesn't fit the type. The message names the
        field.
    """
    try:
        # Decoding straight into the type would skip the content of fields that it doesn't name.
        value = _decode_strictly(body)
    except ValueError as error:
        raise ValueError(f"{_find_unreadable_field(body)}: {error}") from error
    try:
        return msgspec.convert(value, decoded_type)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from error


def _decode_strictly(text: bytes) -> Any:
    """Decode JSON text of which each part must be readable."""
    try:
        value = msgspec.json.decode(text)
    except RecursionError:
        raise ValueError(f"nested in more than {MAX_NESTING} levels") from None
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from error
    if _exceeds_nesting(value):
        raise ValueError(f"nested in more than {MAX_NESTING} levels")
    return value


def _exceeds_nesting(value: Any) -> bool:
    level = [value] if isinstance(value, dict | list) else []
    for _ in range(MAX_NESTING):
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]
        if not level:
            return False
    return True


def _find_unreadable_field(body: bytes) -> str:
    """Return the name of the first field of a JSON object whose value can't be decoded."""
    for name, value in _split_fields(body[:MAX_SCANNED_BYTES]):
        try:
            _decode_strictly(value)
        except ValueError:
            return f"field `{name}`"
    return "body"


def _split_fields(body: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the name and the text of each field of a JSON object, also of one that is cut off.

    The text of a field that is nested too deeply is cut off where it is.
    """
    import re  # Only an unreadable body needs it, and it would delay the start of a balancer.

    depth, name, last_string, value_start = 0, "", "", 0
    for token in re.finditer(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', body, re.DOTALL):
        text = token.group()
        if text in (b"{", b"["):
            depth += 1
        if text in (b"}", b"]"):
            depth -= 1
        is_end = (depth == 0 and text == b"}") or (depth == 1 and text == b",")
        if name and (is_end or depth > MAX_NESTING + 1):
            yield name, body[value_start : token.start()]
            name = ""
        elif depth == 1 and text == b":" and not name:
            name, value_start = last_string, token.end()
        elif depth == 1 and text[:1] == b'"':
            last_string = text[1:-1].decode(errors="replace")
    if name:
        yield name, body[value_start:]
