"""Records as bytes, for the disk and for commands of the log."""

from typing import Any, TypeVar

import msgpack
import msgspec

from chicorypost.base._message import Record

RecordType = TypeVar("RecordType", bound=Record)


def pack_record(record: Record) -> bytes:
    """Return the msgpack form of a record."""
    packed: bytes = msgpack.packb(msgspec.to_builtins(record, builtin_types=(bytes,)))
    return packed


def unpack_record(data: bytes, record_type: type[RecordType]) -> RecordType:
    """Return the record that `pack_record` wrote.

    Raises
    ------
    ValueError
        If the bytes are not such a record.
    """
    try:
        value: Any = msgpack.unpackb(data, strict_map_key=False)
        return msgspec.convert(value, record_type)
    except (msgpack.exceptions.UnpackException, RecursionError) as error:
        raise ValueError(f"not a packed {record_type.__name__}: {error!r}") from error
