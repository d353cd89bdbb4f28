"""Idempotency keys, with the data centre and the timestamp that they encode."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from uuid import UUID

from chicorypost.base import DataCentreId, RequestKey, WallTime, rendezvous_rank

MAX_KEY_LENGTH = 200
KEY_SEPARATOR = "."
UUID_TEXT_LENGTH = 36
UUID_TIME_VERSION = 7
UUID_TIME_SHIFT = 80
UUID_RANDOM_BITS = 74
UUID_RANDOM_LOW_BITS = 62
UUID_VARIANT = 0b10
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class ParsedKey:
    """Data centre and timestamp that a key encodes.

    Parameters
    ----------
    data_centre : DataCentreId or None
        Prefix of the key; None if it has none.
    created_at : WallTime or None
        Timestamp of a UUIDv7; None for any other text.
    """

    data_centre: DataCentreId | None
    created_at: WallTime | None


def normalize_key(text: str) -> RequestKey | None:
    """Return the key of an Idempotency-Key header without its quotes, or None if it is invalid.

    Examples
    --------
    >>> normalize_key('"order-7"')
    'order-7'
    """
    if len(text) >= 2 and text[0] == '"' and text[-1] == '"':
        text = text[1:-1]
    if not 1 <= len(text) <= MAX_KEY_LENGTH or not text.isascii() or not text.isprintable():
        return None
    return RequestKey(text)


def parse_key(key: RequestKey) -> ParsedKey:
    """Return the data centre and the timestamp that a key encodes."""
    prefix, separator, suffix = key.rpartition(KEY_SEPARATOR)
    if separator and prefix and _parse_uuid(suffix) is not None:
        return ParsedKey(DataCentreId(prefix), _time_of(suffix))
    return ParsedKey(None, _time_of(key))


def make_key(data_centre: DataCentreId | None, wall: WallTime, random: Random) -> RequestKey:
    """Return a new key: a UUIDv7, prefixed with the data centre if one is given."""
    milliseconds = int(wall * MILLISECONDS_PER_SECOND)
    random_bits = random.getrandbits(UUID_RANDOM_BITS)
    high, low = random_bits >> UUID_RANDOM_LOW_BITS, random_bits & ((1 << UUID_RANDOM_LOW_BITS) - 1)
    value = milliseconds << UUID_TIME_SHIFT | UUID_TIME_VERSION << 76 | high << 64
    value |= UUID_VARIANT << UUID_RANDOM_LOW_BITS | low
    text = str(UUID(int=value))
    return RequestKey(text if data_centre is None else data_centre + KEY_SEPARATOR + text)


def home_data_centre_of(key: RequestKey, data_centres: Sequence[DataCentreId]) -> DataCentreId:
    """Return the data centre that owns a key: its prefix, or else one chosen by hash."""
    prefix = parse_key(key).data_centre
    if prefix is not None:
        return prefix
    return DataCentreId(rendezvous_rank(key.encode(), data_centres, 1)[0])


def _time_of(text: str) -> WallTime | None:
    parsed = _parse_uuid(text)
    if parsed is None or parsed.version != UUID_TIME_VERSION:
        return None
    return WallTime((parsed.int >> UUID_TIME_SHIFT) / MILLISECONDS_PER_SECOND)


def _parse_uuid(text: str) -> UUID | None:
    if len(text) != UUID_TEXT_LENGTH:
        return None
    try:
        parsed = UUID(text)
    except ValueError:
        return None
    # Another spelling of the same UUID would be a different key with the same timestamp.
    return parsed if str(parsed) == text else None
