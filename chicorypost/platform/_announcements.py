"""Decoding of the calls by which upstreams announce themselves and leave."""

from typing import Annotated, Literal

import msgspec

from chicorypost.announcements import AnnouncedStatus, Announcement, LeaveNotice
from chicorypost.base import DataCentreId, Endpoint, ServiceId, UpstreamId
from chicorypost.platform._json import decode_json
from chicorypost.platform._settings import MAX_INTEGER, MAX_NAME_CHARACTERS, read_endpoint

MAX_SLOTS = 1_000_000
MAX_TOKEN = 2**64 - 1
MAX_SEQUENCE = 2**32 - 1
"""More than a century of calls, one a second. A greater number is a mistake, and would make every
later call of its run outdated."""
MAX_CLOCK_LEAD_MS = 86_400_000
"""How far the clock of an upstream may be ahead, one day. A later start is a mistake, and would
make every later call of its upstream outdated."""
MAX_WARMUP_MS = 86_400_000
"""One day."""
FIRST_MULTICAST_OCTET = 224

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
_STATUS_BY_STATE = {"ready": AnnouncedStatus.READY, "draining": AnnouncedStatus.DRAINING}


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
Start = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _AnnouncementBody(msgspec.Struct):
    """Body of an announcement."""

    service: Name
    address: str
    zone: Name  # data centre
    version: Name  # of the upstream's software
    # slots: requests that the upstream runs at a time
    max_concurrency: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    seq: Sequence  # number of the announcement within one run of the upstream
    born: Start  # start time of the upstream's process, in milliseconds since the Unix epoch
    # time until the upstream has warmed up
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)]


class _LeaveBody(msgspec.Struct):
    """Body of a leave call; the fields are as in `_AnnouncementBody`."""

    seq: Sequence | None = None
    born: Start | None = None


class InvalidAnnouncement(msgspec.Struct, frozen=True):
    """Why a call of an upstream is rejected."""

    detail: str


def read_announcement(
    upstream_name: str, body: bytes, now_ms: int
) -> Announcement | InvalidAnnouncement:
    """Decode and validate an announcement.

    Parameters
    ----------
    upstream_name : str
        Name of the upstream, from the path of the call.
    body : bytes
        JSON body of the call.
    now_ms : int
        Time of day in milliseconds since the Unix epoch.

    Returns
    -------
    Announcement or InvalidAnnouncement
        The announcement, or why it is rejected; the reason names the field.
    """
    try:
        fields = decode_json(body, _AnnouncementBody)
        endpoint = _read_address(fields.address)
        token = read_upstream_token(upstream_name)
        _check_start(fields.born, now_ms)
    except ValueError as error:
        return InvalidAnnouncement(str(error))
    return Announcement(
        upstream=UpstreamId(upstream_name),
        started_at_ms=fields.born,
        sequence=fields.seq,
        service=ServiceId(fields.service),
        data_centre=DataCentreId(fields.zone),
        endpoint=endpoint,
        token=token,
        slots=fields.max_concurrency,
        status=_STATUS_BY_STATE[fields.state],
        warmup_ms=int(fields.warmup_left_ms),
    )


def read_leave_notice(
    upstream_name: str, body: bytes, now_ms: int
) -> LeaveNotice | InvalidAnnouncement:
    """Decode the call by which an upstream reports that it is leaving.

    The parameters are those of `read_announcement`; the body may be empty.
    """
    try:
        read_upstream_token(upstream_name)
        if not body.strip():
            return LeaveNotice(UpstreamId(upstream_name), None, None)
        leave = decode_json(body, _LeaveBody)
        _check_start(leave.born, now_ms)
    except ValueError as error:
        return InvalidAnnouncement(str(error))
    return LeaveNotice(UpstreamId(upstream_name), leave.born, leave.seq)


def _read_address(text: str) -> Endpoint:
    try:
        endpoint = read_endpoint(text)
    except ValueError as error:
        raise ValueError(f"field `address`: {error}") from error
    if not 0 < int(endpoint.host.partition(".")[0]) < FIRST_MULTICAST_OCTET:
        raise ValueError(f"field `address`: not the address of one host: {text!r:.60}")
    return endpoint


def _check_start(started_at_ms: int | None, now_ms: int) -> None:
    if started_at_ms is not None and started_at_ms > now_ms + MAX_CLOCK_LEAD_MS:
        raise ValueError(f"field `born`: {started_at_ms:.3e} is later than one day from now")


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
        raise ValueError(f"id: holds no number of 64 bits: {upstream_name!r:.60}")
    return int(digits, 16)
