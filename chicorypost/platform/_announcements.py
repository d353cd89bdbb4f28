"""Calls by which upstreams announce themselves."""

import msgspec

from chicorypost.announcements import AnnouncedStatus, Announcement, LeaveNotice
from chicorypost.base import DataCentreId, ServiceId, UpstreamId
from chicorypost.platform._settings import read_endpoint

MAX_SLOTS = 1_000_000
MAX_TOKEN = 2**64 - 1

_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
_STATUS_BY_STATE = {"ready": AnnouncedStatus.READY, "draining": AnnouncedStatus.DRAINING}


class _AnnouncementBody(msgspec.Struct):
    """Body of an announcement."""

    service: str
    address: str
    zone: str  # the data centre
    max_concurrency: int  # slots: requests that run at a time
    state: str
    seq: int
    born: int  # start of this run, in milliseconds since the Unix epoch
    warmup_left_ms: float = 0.0


class _LeaveBody(msgspec.Struct):
    """Body of a farewell; it may be empty."""

    seq: int | None = None
    born: int | None = None


class InvalidAnnouncement(msgspec.Struct, frozen=True):
    """Why a call of an upstream is refused."""

    detail: str


def read_announcement(name: str, body: bytes) -> Announcement | InvalidAnnouncement:
    """Read an announcement.

    Parameters
    ----------
    name : str
        Name of the upstream, from the path of the call.
    body : bytes
        Body of the call.

    Returns
    -------
    Announcement or InvalidAnnouncement
        What the upstream says, or why it can't be used.
    """
    try:
        beat = msgspec.json.decode(body, type=_AnnouncementBody)
        endpoint = read_endpoint(beat.address)
        token = read_upstream_token(name)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        return InvalidAnnouncement(str(error))
    standing = _STATUS_BY_STATE.get(beat.state)
    if standing is None:
        return InvalidAnnouncement(f"unknown state: {beat.state!r:.60}")
    if not beat.service or not beat.zone:
        return InvalidAnnouncement("service or zone is empty")
    if not 0 < beat.max_concurrency <= MAX_SLOTS or beat.seq < 0 or beat.born < 0:
        return InvalidAnnouncement("a number is out of range")
    return Announcement(
        upstream=UpstreamId(name),
        started_at_ms=beat.born,
        sequence=beat.seq,
        service=ServiceId(beat.service),
        data_centre=DataCentreId(beat.zone),
        endpoint=endpoint,
        token=token,
        slots=beat.max_concurrency,
        status=standing,
        warmup_ms=max(0, int(beat.warmup_left_ms)),
    )


def read_leave_notice(name: str, body: bytes) -> LeaveNotice | InvalidAnnouncement:
    """Read the call by which an upstream says that it ends."""
    if not body.strip():
        return LeaveNotice(UpstreamId(name), None, None)
    try:
        leave = msgspec.json.decode(body, type=_LeaveBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return InvalidAnnouncement(str(error))
    return LeaveNotice(UpstreamId(name), leave.born, leave.seq)


def read_upstream_token(name: str) -> int:
    """Return the number that packets meant for an upstream carry: the hex digits of its name.

    Raises
    ------
    ValueError
        If the name holds no number of at most 64 bits.
    """
    digits = "".join(letter for letter in name if letter in _HEX_DIGITS)
    if not digits or int(digits, 16) > MAX_TOKEN or not int(digits, 16):
        raise ValueError(f"the name holds no number of 64 bits: {name!r:.60}")
    return int(digits, 16)
