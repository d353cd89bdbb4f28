"""Decoding of the calls by which upstreams announce themselves and leave."""

from typing import Annotated

import msgspec

from chicorypost.announcements import AnnouncedStatus, Announcement, LeaveNotice
from chicorypost.base import DataCentreId, ServiceId, UpstreamId
from chicorypost.platform._settings import MAX_INTEGER, MAX_NAME_CHARACTERS, read_endpoint

MAX_SLOTS = 1_000_000
MAX_TOKEN = 2**64 - 1
MAX_WARMUP_MS = 86_400_000
"""One day."""

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
_STATUS_BY_STATE = {"ready": AnnouncedStatus.READY, "draining": AnnouncedStatus.DRAINING}


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _AnnouncementBody(msgspec.Struct):
    """Body of an announcement."""

    service: Name
    address: str
    zone: Name  # data centre
    max_concurrency: int  # slots: requests that the upstream runs at a time
    state: str  # a key of _STATUS_BY_STATE
    seq: Number  # number of the announcement within one run of the upstream
    born: Number  # start time of the upstream's process, in milliseconds since the Unix epoch
    warmup_left_ms: float = 0.0  # time until the upstream has warmed up


class _LeaveBody(msgspec.Struct):
    """Body of a leave call; the fields are as in `_AnnouncementBody`."""

    seq: Number | None = None
    born: Number | None = None


class InvalidAnnouncement(msgspec.Struct, frozen=True):
    """Why a call of an upstream is rejected."""

    detail: str


def read_announcement(upstream_name: str, body: bytes) -> Announcement | InvalidAnnouncement:
    """Decode and validate an announcement.

    Parameters
    ----------
    upstream_name : str
        Name of the upstream, from the path of the call.
    body : bytes
        JSON body of the call.

    Returns
    -------
    Announcement or InvalidAnnouncement
        The announcement, or why it is rejected.
    """
    try:
        fields = msgspec.json.decode(body, type=_AnnouncementBody)
        endpoint = read_endpoint(fields.address)
        token = read_upstream_token(upstream_name)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return InvalidAnnouncement(str(error))
    status = _STATUS_BY_STATE.get(fields.state)
    if status is None:
        return InvalidAnnouncement(f"unknown state: {fields.state!r:.60}")
    if not 0 < fields.max_concurrency <= MAX_SLOTS or fields.warmup_left_ms > MAX_WARMUP_MS:
        return InvalidAnnouncement("a number is out of range")
    return Announcement(
        upstream=UpstreamId(upstream_name),
        started_at_ms=fields.born,
        sequence=fields.seq,
        service=ServiceId(fields.service),
        data_centre=DataCentreId(fields.zone),
        endpoint=endpoint,
        token=token,
        slots=fields.max_concurrency,
        status=status,
        warmup_ms=max(0, int(fields.warmup_left_ms)),
    )


def read_leave_notice(upstream_name: str, body: bytes) -> LeaveNotice | InvalidAnnouncement:
    """Decode the call by which an upstream reports that it is leaving."""
    if not body.strip():
        return LeaveNotice(UpstreamId(upstream_name), None, None)
    try:
        leave = msgspec.json.decode(body, type=_LeaveBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return InvalidAnnouncement(str(error))
    return LeaveNotice(UpstreamId(upstream_name), leave.born, leave.seq)


def read_upstream_token(upstream_name: str) -> int:
    """Return the token that packets to an upstream carry: the hex digits of its name as a number.

    Raises
    ------
    ValueError
        If the hex digits of the name don't give a number from 1 to `MAX_TOKEN`.
    """
    digits = "".join(letter for letter in upstream_name if letter in _HEX_DIGITS)
    if (
        len(upstream_name) > MAX_NAME_CHARACTERS
        or not digits
        or int(digits, 16) > MAX_TOKEN
        or not int(digits, 16)
    ):
        raise ValueError(f"the name holds no number of 64 bits: {upstream_name!r:.60}")
    return int(digits, 16)
