"""The platform's HTTP calls."""

from enum import Enum

import msgspec

from chicorypost.base import InstanceId
from chicorypost.transport import HttpServerRequest, HttpServerResponse

READY_PATH = "/-/ready"
ANNOUNCE_PREFIX = "/-/Backends.Heartbeat/"
LEAVE_PREFIX = "/-/Backends.Leave/"
PUT_CONFIGURATION_PATH = "/-/Config.Put"
GET_CONFIGURATION_PATH = "/-/Config.Get"

_JSON = (("content-type", "application/json"),)


class SimpleCall(Enum):
    """Calls without a parameter."""

    READY = "ready"
    PUT_CONFIGURATION = "put"
    GET_CONFIGURATION = "get"


class AnnounceCall(msgspec.Struct, frozen=True):
    """An upstream announces itself."""

    upstream_name: str


class LeaveCall(msgspec.Struct, frozen=True):
    """An upstream says that it ends."""

    upstream_name: str


class UnknownCall(msgspec.Struct, frozen=True):
    """A method and path that the platform doesn't have."""


Call = SimpleCall | AnnounceCall | LeaveCall | UnknownCall

_SIMPLE_CALLS = {
    ("GET", READY_PATH): SimpleCall.READY,
    ("POST", PUT_CONFIGURATION_PATH): SimpleCall.PUT_CONFIGURATION,
    ("GET", GET_CONFIGURATION_PATH): SimpleCall.GET_CONFIGURATION,
}


def read_call(request: HttpServerRequest) -> Call:
    """Return what a request asks for."""
    path = request.path
    simple = _SIMPLE_CALLS.get((request.method, path))
    if simple is not None:
        return simple
    if request.method == "POST" and path.startswith(ANNOUNCE_PREFIX):
        return AnnounceCall(path.removeprefix(ANNOUNCE_PREFIX))
    if request.method == "POST" and path.startswith(LEAVE_PREFIX):
        return LeaveCall(path.removeprefix(LEAVE_PREFIX))
    return UnknownCall()


def make_ok_response() -> HttpServerResponse:
    """Return the answer to a call that was carried out."""
    return HttpServerResponse(200, b"{}", _JSON)


def make_document_response(original: bytes) -> HttpServerResponse:
    """Return the configuration as the operator sent it."""
    return HttpServerResponse(200, original, _JSON)


def make_bad_request_response(detail: str) -> HttpServerResponse:
    """Return the answer to a call that can't be carried out as it is."""
    return HttpServerResponse(400, _encode_error(detail), _JSON)


def make_not_found_response() -> HttpServerResponse:
    """Return the answer to a call that doesn't exist."""
    return HttpServerResponse(404, _encode_error("no such call"), _JSON)


def make_unavailable_response(detail: str) -> HttpServerResponse:
    """Return the answer of an instance that can't tell now; another one may."""
    return HttpServerResponse(503, _encode_error(detail), _JSON)


def make_redirect_response(instance: InstanceId, request: HttpServerRequest) -> HttpServerResponse:
    """Send the caller to another control instance."""
    location = f"http://{instance}{request.target}"
    return HttpServerResponse(307, b"", (("location", location),))


def _encode_error(detail: str) -> bytes:
    return msgspec.json.encode({"error": detail})
