"""HTTP endpoints for liveness, readiness, state dumps and metrics."""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from chicorypost.metrics import MetricsSource
from chicorypost.transport import HttpServerRequest, HttpServerResponse

JSON_HEADERS = (("content-type", "application/json"),)


def json_response(status: int, value: Any) -> HttpServerResponse:
    """Return a response with a JSON body."""
    body = json.dumps(value, default=str, indent=2).encode() + b"\n"
    return HttpServerResponse(status, body, JSON_HEADERS)


@dataclass(frozen=True, slots=True)
class AdminEndpoints:
    """Request handler of the admin listener.

    Parameters
    ----------
    metrics : MetricsSource
        Metrics served at ``/metrics``.
    dump : callable
        Returns the state served at ``/dump``.
    unready_reason : callable
        Returns why the process is not ready, or an empty string when it is ready.
    explain_route : callable, optional
        Returns where an opening would go, for the query of ``/route``, as JSON-compatible values;
        raises ValueError if the query is invalid. None for a process that routes no flows.
    """

    metrics: MetricsSource
    dump: Callable[[], dict[str, Any]]
    unready_reason: Callable[[], str]
    explain_route: Callable[[Mapping[str, str]], Any] | None = None

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the response to a request."""
        if request.method != "GET":
            return json_response(405, {"error": f"method is {request.method}, allowed is GET"})
        match request.path:
            case "/live":
                return json_response(200, {"live": True})
            case "/ready":
                reason = self.unready_reason()
                return json_response(503 if reason else 200, {"ready": not reason, "why": reason})
            case "/dump":
                return json_response(200, self.dump())
            case "/metrics":
                body, content_type = self.metrics.exposition()
                return HttpServerResponse(200, body, (("content-type", content_type),))
            case "/route" if self.explain_route is not None:
                return self._respond_to_route_query(request, self.explain_route)
        paths = "/live, /ready, /dump, /metrics"
        if self.explain_route is not None:
            paths += ", /route"
        return json_response(404, {"error": f"path is {request.path}, allowed are {paths}"})

    def _respond_to_route_query(
        self, request: HttpServerRequest, explain_route: Callable[[Mapping[str, str]], Any]
    ) -> HttpServerResponse:
        try:
            return json_response(200, explain_route(request.query))
        except ValueError as error:
            return json_response(400, {"error": str(error)})
