"""``chicorypost route``: explain where an opening would go now, without sending it."""

import json
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import urlencode

import cappa
import trio

from chicorypost.base import Endpoint
from chicorypost.commands._config import AsJson
from chicorypost.commands._exit import ExitCode
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

MAX_EXPLANATION_BYTES = 16 * 1024 * 1024
TIMEOUT_SECONDS = 10.0
SHOWN_UPSTREAMS = 20
"""Upstreams of a service that the text names; `--json` shows all."""


@cappa.command(
    name="route",
    help="Explain where the first packet of a new flow would go now, without sending it.",
    description=(
        "Example: chicorypost route 198.18.0.1:443 --balancer 10.1.0.10:9102 "
        "--client 100.64.0.7:40001. Exit codes: 0 it would be forwarded, 1 it would be reset or "
        "dropped, 2 invalid usage, 3 the balancer can't be reached."
    ),
)
@dataclass
class RouteCommand:
    """Asks a running balancer where an opening would go."""

    address: Annotated[str, cappa.Arg(help="address:port that the client would connect to.")]
    balancer: Annotated[
        str, cappa.Arg(long=True, help="host:port of the admin listener of a balancer.")
    ]
    client: Annotated[
        str,
        cappa.Arg(long=True, help="address:port of the client, which selects a service by weight."),
    ] = ""
    as_json: AsJson = False

    def __call__(self) -> None:
        """Fetch and print the explanation."""
        from chicorypost.daemons import parse_endpoint

        try:
            endpoint = parse_endpoint(self.balancer)
        except ValueError as error:
            raise cappa.Exit(str(error), code=ExitCode.USAGE) from error
        explanation = trio.run(self._fetch, endpoint)
        print(json.dumps(explanation, indent=2) if self.as_json else format_route(explanation))
        if not _is_forwarded(explanation):
            raise cappa.Exit(code=ExitCode.REFUSED)

    async def _fetch(self, endpoint: Endpoint) -> Any:
        query = {"address": self.address} | ({"client": self.client} if self.client else {})
        request = ExchangeRequest("GET", f"/route?{urlencode(query)}")
        response: object = None
        with trio.move_on_after(TIMEOUT_SECONDS):
            response = await exchange_once(endpoint, request, MAX_EXPLANATION_BYTES)
        if not isinstance(response, ExchangeResponse):
            message = (
                f"{self.balancer} did not respond; allowed is the admin listener of a running "
                "balancer"
            )
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
        if response.status != 200:
            raise cappa.Exit(_read_error(response), code=ExitCode.USAGE)
        return json.loads(response.body)


def _read_error(response: ExchangeResponse) -> str:
    try:
        return str(json.loads(response.body)["error"])
    except (ValueError, KeyError, TypeError):
        return f"HTTP status {response.status}; the process explains no routes"


def _is_forwarded(explanation: dict[str, Any]) -> bool:
    services = explanation["services"]
    return any(item["probability"] and not item["reset"] for item in services)


def format_route(explanation: dict[str, Any]) -> str:
    """Return an explanation as text."""
    route = explanation["route"] or "none"
    lines = [
        f"balancer in {explanation['data_centre']}, configuration version {explanation['version']}",
        f"route: {route}",
    ]
    if explanation["refusal"]:
        lines.append(f"the opening would not be forwarded: {explanation['refusal']}")
    if explanation["evacuated"]:
        lines.append(f"evacuated data centres: {', '.join(explanation['evacuated'])}")
    for service in explanation["services"]:
        lines += _format_service(service)
    return "\n".join(lines)


def _format_service(service: dict[str, Any]) -> list[str]:
    lines = [f"service {service['service']} ({service['probability']:.0%} of the flows)"]
    if service["reset"]:
        lines.append(f"  the opening would be reset: {service['reset']}")
    upstreams = service["upstreams"]
    lines += [_format_upstream(item) for item in upstreams[:SHOWN_UPSTREAMS]]
    if len(upstreams) > SHOWN_UPSTREAMS:
        lines.append(f"  and {len(upstreams) - SHOWN_UPSTREAMS} more (--json shows all)")
    return lines


def _format_upstream(item: dict[str, Any]) -> str:
    parts = [
        f"score {item['score']:.2f}",
        f"{item['busy_flows']} busy and {item['opening_flows']} opening of {item['flows']} flows",
        f"{item['slots']} slots",
    ]
    if item["slowness"] > 1.0:
        parts.append(f"slow by {item['slowness']:.1f}")
    if item["response_seconds"] is not None:
        milliseconds, age = item["response_seconds"] * 1000, item["response_age_seconds"]
        parts.append(f"responds in {milliseconds:.0f} ms ({age:.1f} s ago)")
    if item["warmup_seconds"]:
        parts.append(f"cold for {item['warmup_seconds']:.1f} s")
    reason = f"left out: {item['excluded_by']}; " if item["excluded_by"] else ""
    probability = f"{item['probability']:.1%}"
    return f"  {probability:>6} {item['upstream']} in {item['data_centre']}: {reason}" + ", ".join(
        parts
    )
