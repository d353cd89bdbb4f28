"""HTTP endpoint that receives the requests of callers."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from chicorypost.base import Instant, RequestKey, ServiceId, WallTime
from chicorypost.configuration import ConfigurationDocument, ServiceSpec
from chicorypost.daemons._admin import json_response
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._exchanges import DEADLINE_HEADER
from chicorypost.metrics import ProcessMetrics
from chicorypost.requests import CallerGone, RequestArrived, Respond
from chicorypost.transport import HttpServerRequest, HttpServerResponse
from chicorypost.upstreams import HttpRequest, HttpResponse

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(slots=True)
class CallerEndpoint:
    """Posts requests to the request service and returns its response to the caller.

    Parameters
    ----------
    engine : Engine
        Receives an event for each request and for each disconnected caller.
    metrics : ProcessMetrics
        Records the number and the duration of requests.
    get_document : callable
        Returns the configuration in force.

    Attributes
    ----------
    response_events : dict of int to trio.Event
        Set when the response to a ticket is available.
    responses : dict of int to HttpResponse
        Responses that no handler has collected yet, by ticket.
    """

    engine: Engine
    metrics: ProcessMetrics
    get_document: Callable[[], ConfigurationDocument]
    next_ticket: int = 1
    response_events: dict[int, trio.Event] = field(default_factory=dict)
    responses: dict[int, HttpResponse] = field(default_factory=dict)

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the response to a request."""
        found = find_service(self.get_document(), request.header("host") or "")
        if found is None:
            host = request.header("host")
            return json_response(404, {"title": f"no service has the host {host!r}"})
        service, spec = found
        deadline = self._parse_deadline(request, spec)
        if deadline is None:
            allowed = "seconds since 1970-01-01 UTC as a decimal number"
            return json_response(400, {"title": f"{DEADLINE_HEADER} is not {allowed}"})
        return await self._run_request(request, service, spec, deadline)

    async def _run_request(
        self, request: HttpServerRequest, service: ServiceId, spec: ServiceSpec, deadline: Instant
    ) -> HttpServerResponse:
        ticket = self.next_ticket
        self.next_ticket += 1
        response_ready = self.response_events[ticket] = trio.Event()
        started = self.engine.now()
        key = request.header(IDEMPOTENCY_KEY_HEADER)
        event = RequestArrived(
            ticket=ticket,
            request=_to_upstream_request(request),
            service=service,
            key=RequestKey(key) if key is not None else None,
            deadline=deadline,
            wall=WallTime(time.time()),
            priority=spec.priority,
        )
        try:
            self.engine.post(event)
            await response_ready.wait()
        except trio.Cancelled:
            self.engine.post(CallerGone(ticket))
            raise
        finally:
            del self.response_events[ticket]
            response = self.responses.pop(ticket, None)
        assert response is not None
        self.metrics.requests.labels(service, str(response.status)).inc()
        self.metrics.request_seconds.labels(service).observe(self.engine.now() - started)
        return _to_server_response(response)

    def respond(self, effect: Respond) -> None:
        """Hand a response to the waiting handler; drop it if the caller has disconnected."""
        response_ready = self.response_events.get(effect.ticket)
        if response_ready is not None:
            self.responses[effect.ticket] = effect.response
            response_ready.set()

    def _parse_deadline(self, request: HttpServerRequest, spec: ServiceSpec) -> Instant | None:
        now = self.engine.now()
        latest = now + spec.deadline_seconds
        text = request.header(DEADLINE_HEADER)
        if text is None:
            return Instant(latest)
        try:
            wall_time = float(text)
        except ValueError:
            return None
        if wall_time != wall_time:
            return None
        return Instant(min(latest, now + wall_time - time.time()))


def find_service(
    document: ConfigurationDocument, host: str
) -> tuple[ServiceId, ServiceSpec] | None:
    """Return the service that matches a Host header and its specification, or None."""
    name = host.rsplit(":", 1)[0].lower()
    for service, spec in document.services.items():
        if name in spec.hosts:
            return service, spec
    return None


def _to_upstream_request(request: HttpServerRequest) -> HttpRequest:
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if name.lower() not in HOP_BY_HOP_HEADERS and name.lower() != DEADLINE_HEADER
    )
    return HttpRequest(request.method, request.target, headers, request.body)


def _to_server_response(response: HttpResponse) -> HttpServerResponse:
    headers = tuple(
        (name, value) for name, value in response.headers if name.lower() not in HOP_BY_HOP_HEADERS
    )
    return HttpServerResponse(response.status, response.body, headers)
