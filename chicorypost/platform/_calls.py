"""The platform's HTTP calls and the responses to them."""

import re
from collections.abc import Iterable
from enum import Enum
from urllib.parse import quote, unquote_to_bytes

import msgspec

from chicorypost.base import DataCentreId, InstanceId
from chicorypost.platform._settings import MAX_NAME_CHARACTERS
from chicorypost.transport import HttpServerRequest, HttpServerResponse

READY_PATH = "/-/ready"
ANNOUNCE_PREFIX = "/-/Backends.Heartbeat/"
LEAVE_PREFIX = "/-/Backends.Leave/"
PUT_CONFIGURATION_PATH = "/-/Config.Put"
GET_CONFIGURATION_PATH = "/-/Config.Get"
START_EVACUATION_PREFIX = "/-/Evacuation.Start/"
END_EVACUATION_PREFIX = "/-/Evacuation.End/"
EVACUATIONS_TARGET = "/-/Evacuation.Get"
"""Not a call of the platform; for the command ``chicorypost evacuation show``."""

_JSON = (("content-type", "application/json"),)
_BROKEN_ESCAPE = re.compile("%(?![0-9A-Fa-f]{2})")


class SimpleCall(Enum):
    """Calls whose path has no variable part."""

    READY = "ready"
    PUT_CONFIGURATION = "put"
    GET_CONFIGURATION = "get"
    GET_EVACUATIONS = "get evacuations"


class AnnounceCall(msgspec.Struct, frozen=True):
    """An upstream announces itself."""

    upstream_name: str


class LeaveCall(msgspec.Struct, frozen=True):
    """An upstream reports that it is leaving."""

    upstream_name: str


class EvacuationCall(msgspec.Struct, frozen=True):
    """An operator orders to start or end the evacuation of a data centre.

    `encoded_name` is the name as it is written in the path; see `read_data_centre`.
    """

    encoded_name: str
    is_start: bool


class InvalidDataCentre(msgspec.Struct, frozen=True):
    """Why a text can't be the name of a data centre."""

    detail: str


class UnknownCall(msgspec.Struct, frozen=True):
    """A method and path that match no call."""


Call = SimpleCall | AnnounceCall | LeaveCall | EvacuationCall | UnknownCall

_SIMPLE_CALLS = {
    ("GET", READY_PATH): SimpleCall.READY,
    ("POST", PUT_CONFIGURATION_PATH): SimpleCall.PUT_CONFIGURATION,
    ("GET", GET_CONFIGURATION_PATH): SimpleCall.GET_CONFIGURATION,
    ("GET", EVACUATIONS_TARGET): SimpleCall.GET_EVACUATIONS,
}


def read_call(request: HttpServerRequest) -> Call:
    """Return the call that the method and path of a request select."""
    path = request.path
    simple_call = _SIMPLE_CALLS.get((request.method, path))
    if simple_call is not None:
        return simple_call
    if request.method == "POST" and path.startswith(ANNOUNCE_PREFIX):
        return AnnounceCall(path.removeprefix(ANNOUNCE_PREFIX))
    if request.method == "POST" and path.startswith(LEAVE_PREFIX):
        return LeaveCall(path.removeprefix(LEAVE_PREFIX))
    if request.method == "POST" and path.startswith(START_EVACUATION_PREFIX):
        return EvacuationCall(path.removeprefix(START_EVACUATION_PREFIX), is_start=True)
    if request.method == "POST" and path.startswith(END_EVACUATION_PREFIX):
        return EvacuationCall(path.removeprefix(END_EVACUATION_PREFIX), is_start=False)
    return UnknownCall()


def make_evacuation_target(data_centre: str, is_start: bool) -> str:
    """Return the target of the request that starts or ends an evacuation."""
    prefix = START_EVACUATION_PREFIX if is_start else END_EVACUATION_PREFIX
    return prefix + quote(data_centre, safe="")


def read_data_centre(
    encoded_name: str, data_centres: frozenset[DataCentreId]
) -> DataCentreId | InvalidDataCentre:
    """Return the data centre that a part of a path names.

    Parameters
    ----------
    encoded_name : str
        The part of the path, with percent-encoded characters.
    data_centres : frozenset of DataCentreId
        All data centres of the deployment; empty to accept any valid name.

    Returns
    -------
    DataCentreId or InvalidDataCentre
        The name, or why it can't be the name of a data centre.
    """
    if not encoded_name.isascii() or _BROKEN_ESCAPE.search(encoded_name):
        return InvalidDataCentre("name of the zone: not percent-encoded")
    try:
        name = unquote_to_bytes(encoded_name).decode()
    except UnicodeDecodeError:
        return InvalidDataCentre("name of the zone: not UTF-8")
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        detail = f"has {len(name)} characters, allowed are 1 to {MAX_NAME_CHARACTERS}"
        return InvalidDataCentre(f"name of the zone: {detail}")
    if "/" in name:
        return InvalidDataCentre("name of the zone: contains a slash")
    if data_centres and name not in data_centres:
        return InvalidDataCentre(f"name of the zone: unknown zone {name!r:.60}")
    return DataCentreId(name)


def make_ok_response() -> HttpServerResponse:
    """Return the response 200 to a call that succeeded."""
    return HttpServerResponse(200, b"{}", _JSON)


def make_document_response(original: bytes) -> HttpServerResponse:
    """Return the response 200 with the configuration as the operator sent it."""
    return HttpServerResponse(200, original, _JSON)


def make_evacuations_response(
    revision: int, data_centres: Iterable[DataCentreId]
) -> HttpServerResponse:
    """Return the response 200 with the evacuated data centres."""
    body = {"revision": revision, "evacuated": list(data_centres)}
    return HttpServerResponse(200, msgspec.json.encode(body), _JSON)


def make_bad_request_response(detail: str) -> HttpServerResponse:
    """Return the response 400 to a call with invalid content."""
    return HttpServerResponse(400, _encode_error(detail), _JSON)


def make_not_found_response() -> HttpServerResponse:
    """Return the response 404 to an unknown method or path."""
    return HttpServerResponse(404, _encode_error("no such call"), _JSON)


def make_unavailable_response(detail: str) -> HttpServerResponse:
    """Return the response 503; the caller may retry at another instance."""
    return HttpServerResponse(503, _encode_error(detail), _JSON)


def make_redirect_response(instance: InstanceId, request: HttpServerRequest) -> HttpServerResponse:
    """Return the response 307, which redirects the caller to another control instance."""
    location = f"http://{instance}{request.target}"
    return HttpServerResponse(307, b"", (("location", location),))


def _encode_error(detail: str) -> bytes:
    return msgspec.json.encode({"error": detail})
