"""The listener to which upstreams announce themselves."""

import json

from pydantic import Field, ValidationError

from chicorypost.base import (
    DataCentreId,
    Endpoint,
    Incarnation,
    ServiceId,
    Settings,
    Upstream,
    UpstreamId,
    UpstreamState,
)
from chicorypost.daemons._admin import json_response
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import ANNOUNCEMENT_MALFORMED
from chicorypost.transport import HttpServerRequest, HttpServerResponse
from chicorypost.upstreams import AnnouncementReceived, UpstreamDirectory

ANNOUNCEMENTS_PATH = "/v1/announcements"


class AnnouncementBody(Settings):
    """The JSON body of an announcement.

    Parameters
    ----------
    upstream, service, data_centre : str
        Who announces itself, what it serves and where.
    incarnation : int
        Greater after each start of the upstream.
    packets, requests : list of host and port
        Where it takes packets and HTTP requests.
    slots, connections : int
        How many requests it runs, and how many connections it holds, at a time.
    state : str
        ``starting``, ``ready`` or ``draining``.
    valid_for_seconds : float
        The announcement counts for this long unless it is repeated; 0 says that the upstream has
        left.
    """

    upstream: UpstreamId = Field(min_length=1, max_length=200)
    incarnation: Incarnation = Field(ge=0)
    service: ServiceId = Field(min_length=1, max_length=200)
    data_centre: DataCentreId = Field(min_length=1, max_length=100)
    packets: tuple[str, int]
    requests: tuple[str, int]
    slots: int = Field(ge=1, le=100_000)
    connections: int = Field(ge=1, le=10_000_000)
    state: UpstreamState
    valid_for_seconds: float = Field(ge=0, le=3600)

    def to_upstream(self) -> Upstream:
        """Return the upstream that the body describes."""
        return Upstream(
            self.upstream,
            self.incarnation,
            self.service,
            self.data_centre,
            Endpoint(*self.packets),
            Endpoint(*self.requests),
            self.slots,
            self.connections,
            self.state,
        )


class AnnouncementEndpoint:
    """Checks announcements and hands them to the upstream directory.

    Parameters
    ----------
    engine : Engine
        Told of each valid announcement.
    directory : UpstreamDirectory
        Asked whether an announcement contradicts what is known.
    """

    def __init__(self, engine: Engine, directory: UpstreamDirectory) -> None:
        self.engine = engine
        self.directory = directory

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Serve one request."""
        if (request.method, request.path) != ("POST", ANNOUNCEMENTS_PATH):
            got = f"{request.method} {request.path}"
            return json_response(
                404, {"error": f"request is {got}, allowed is POST {ANNOUNCEMENTS_PATH}"}
            )
        try:
            body = AnnouncementBody.model_validate(json.loads(request.body))
        except (ValueError, ValidationError) as error:
            reason = str(error)
            self.engine.emit(ANNOUNCEMENT_MALFORMED.emit(reason=reason[:500]))
            return json_response(400, {"error": reason})
        upstream = body.to_upstream()
        refusal = self.directory.find_refusal(upstream)
        self.engine.post(AnnouncementReceived(upstream, body.valid_for_seconds))
        if refusal is None:
            return json_response(200, {"accepted": body.upstream})
        # The record of an endpoint that another upstream holds is kept, but gets no work yet.
        return json_response(409, {"error": refusal.detail, "reason": refusal.reason.value})
