"""The platform's HTTP calls."""

from enum import Enum

import msgspec

from chicorypost.base import InstanceId
from chicorypost.transport import HttpServerRequest, HttpServerResponse

READY_PATH = "/-/ready"
ANNOUNCE_PREFIX = "/-/Backends.Heartbeat/"
LEAVE_PREFIX = "/-/Backends.Leave/"
PUT_PATH = "/-/Config.Put"
GET_PATH = "/-/Config.Get"

_JSON = (("content-type", "application/json"),)


class Simple(Enum):
    """Calls without a parameter."""

    READY = "ready"
    PUT = "put"
    GET = "get"


class AnnounceCall(msgspec.Struct, frozen=True):
    """An upstream announces itself."""

    name: str


class LeaveCall(msgspec.Struct, frozen=True):
    """An upstream says that it ends."""

    name: str


class UnknownCall(msgspec.Struct, frozen=True):
    """A method and path that the platform doesn't have."""


Call = Simple | AnnounceCall | LeaveCall | UnknownCall

_SIMPLE = {
    ("GET", READY_PATH): Simple.READY,
    ("POST", PUT_PATH): Simple.PUT,
    ("GET", GET_PATH): Simple.GET,
}


def read_call(request: HttpServerRequest) -> Call:
    """Return what a request asks for."""
    path = request.path
    simple = _SIMPLE.get((request.method, path))
    if simple is not None:
        return simple
    if request.method == "POST" and path.startswith(ANNOUNCE_PREFIX):
        return AnnounceCall(path.removeprefix(ANNOUNCE_PREFIX))
    if request.method == "POST" and path.startswith(LEAVE_PREFIX):
        return LeaveCall(path.removeprefix(LEAVE_PREFIX))
    return UnknownCall()


def answer_done() -> HttpServerResponse:
    """Return the answer to a call that was carried out."""
    return HttpServerResponse(200, b"{}", _JSON)


def answer_document(original: bytes) -> HttpServerResponse:
    """Return the configuration as the operator sent it."""
    return HttpServerResponse(200, original, _JSON)


def answer_mistake(detail: str) -> HttpServerResponse:
    """Return the answer to a call that can't be carried out as it is."""
    return HttpServerResponse(400, _error(detail), _JSON)


def answer_unknown() -> HttpServerResponse:
    """Return the answer to a call that doesn't exist."""
    return HttpServerResponse(404, _error("no such call"), _JSON)


def answer_unavailable(detail: str) -> HttpServerResponse:
    """Return the answer of an instance that can't tell now; another one may."""
    return HttpServerResponse(503, _error(detail), _JSON)


def answer_elsewhere(instance: InstanceId, request: HttpServerRequest) -> HttpServerResponse:
    """Send the caller to another control instance."""
    location = f"http://{instance}{request.target}"
    return HttpServerResponse(307, b"", (("location", location),))


def _error(detail: str) -> bytes:
    return msgspec.json.encode({"error": detail})
