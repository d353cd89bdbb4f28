"""Frames: checksummed records in a file.

A frame consists of a header (magic bytes, length and checksum of the payload, checksum of the
header) and the payload. Each write to the log is one frame and is synced before the next one, so a
crash can tear only the last frame of the last file.
"""

import struct
import zlib
from dataclasses import dataclass

FRAME_MAGIC = b"\xc3CPL"
_HEADER_FIELDS = struct.Struct(">4sII")
_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = _HEADER_FIELDS.size + _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class FrameScan:
    """Frames read from a file.

    `valid_bytes` is the total size of the valid frames before the first damage.
    `has_frame_after_damage` is whether a valid frame follows the damage, which an interrupted last
    write can't explain.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    has_frame_after_damage: bool


def encode_frame(payload: bytes) -> bytes:
    """Return the frame that holds a payload."""
    fields = _HEADER_FIELDS.pack(FRAME_MAGIC, len(payload), zlib.crc32(payload))
    return fields + _CHECKSUM.pack(zlib.crc32(fields)) + payload


def scan_frames(data: bytes) -> FrameScan:
    """Read frames up to the end of the data or the first damage."""
    payloads = []
    position = 0
    while position < len(data):
        payload = _read_frame(data, position)
        if payload is None:
            break
        payloads.append(payload)
        position += HEADER_BYTES + len(payload)
    return FrameScan(tuple(payloads), position, _contains_frame(data, position + 1))


def _read_frame(data: bytes, position: int) -> bytes | None:
    start = position + HEADER_BYTES
    header = data[position:start]
    if len(header) < HEADER_BYTES:
        return None
    fields = header[: _HEADER_FIELDS.size]
    (header_checksum,) = _CHECKSUM.unpack(header[_HEADER_FIELDS.size :])
    magic, length, checksum = _HEADER_FIELDS.unpack(fields)
    if magic != FRAME_MAGIC or zlib.crc32(fields) != header_checksum:
        return None
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _contains_frame(data: bytes, position: int) -> bool:
    position = data.find(FRAME_MAGIC, position)
    while position >= 0:
        if _read_frame(data, position) is not None:
            return True
        position = data.find(FRAME_MAGIC, position + 1)
    return False
