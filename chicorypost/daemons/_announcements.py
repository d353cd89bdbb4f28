"""HTTP endpoint that receives the announcements of upstreams."""

import json
from typing import Annotated

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
MAX_INCARNATION = 2**63 - 1
"""Largest integer that all codecs between the processes can carry."""
Host = Annotated[str, Field(min_length=1, max_length=253, pattern=r"^[0-9A-Za-z.:-]+$")]
Port = Annotated[int, Field(ge=1, le=65_535)]


class AnnouncementBody(Settings):
    """The JSON body of an announcement.

    Parameters
    ----------
    upstream, service, data_centre : str
        Id of the upstream, the service it provides and its data centre.
    incarnation : int
        Number that grows with each start of the upstream.
    packets, requests : list of host and port
        Addresses that receive packets and HTTP requests.
    slots, connections : int
        Maximum numbers of concurrent requests and of concurrent connections.
    state : str
        ``starting``, ``ready`` or ``draining``.
    valid_for_seconds : float
        The announcement expires after this time unless it is repeated; 0 removes the upstream.
    """

    upstream: UpstreamId = Field(min_length=1, max_length=200)
    incarnation: Incarnation = Field(ge=0, le=MAX_INCARNATION)
    service: ServiceId = Field(min_length=1, max_length=200)
    data_centre: DataCentreId = Field(min_length=1, max_length=100)
    packets: tuple[Host, Port]
    requests: tuple[Host, Port]
    slots: int = Field(ge=1, le=100_000)
    connections: int = Field(ge=1, le=10_000_000)
    state: UpstreamState
    valid_for_seconds: float = Field(ge=0, le=3600)

    def to_upstream(self) -> Upstream:
        """Convert the body to an upstream."""
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
    """Validates announcements and posts them to the upstream directory.

    Parameters
    ----------
    engine : Engine
        Receives an event for each valid announcement.
    directory : UpstreamDirectory
        Reports whether an announcement conflicts with another upstream.
    """

    def __init__(self, engine: Engine, directory: UpstreamDirectory) -> None:
        self.engine = engine
        self.directory = directory

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the response to a request."""
        if (request.method, request.path) != ("POST", ANNOUNCEMENTS_PATH):
            got = f"{request.method} {request.path}"
            return json_response(
                404, {"error": f"request is {got}, allowed is POST {ANNOUNCEMENTS_PATH}"}
            )
        try:
            body = AnnouncementBody.model_validate(json.loads(request.body))
        except (ValueError, ValidationError, RecursionError) as error:
            reason = str(error)
            self.engine.emit(ANNOUNCEMENT_MALFORMED.emit(reason=reason[:500]))
            return json_response(400, {"error": reason})
        upstream = body.to_upstream()
        refusal = self.directory.find_refusal(upstream)
        self.engine.post(AnnouncementReceived(upstream, body.valid_for_seconds))
        if refusal is None:
            return json_response(200, {"accepted": body.upstream})
        # The directory also records an upstream whose endpoint another one holds; it gets no work
        # while the conflict lasts.
        return json_response(409, {"error": refusal.detail, "reason": refusal.reason.value})
