"""``chicorypost route`` against the admin listener of a balancer."""

import json
from random import Random

import cappa
import pytest
import trio

import chicorypost.commands._route
from chicorypost.announcements import RoutingApplied, VisibleUpstreamsChanged
from chicorypost.base import Instant
from chicorypost.commands._exit import ExitCode
from chicorypost.commands._main import RootCommand
from chicorypost.cookies import CookiePacket, CookieRouter, CookieSettings
from chicorypost.cookies._explanation import describe_opening, explain_opening
from chicorypost.cookies.tests.test_cold_starts import DATA_CENTRES, START, make_visible, routing
from chicorypost.daemons._admin import AdminEndpoints
from chicorypost.metrics import PlainMetrics
from chicorypost.platform import read_packet, read_route_query
from chicorypost.platform.tests.test_readers import SYN
from chicorypost.transport import ExchangeResponse, HttpServerRequest

BALANCER = "10.1.0.10:9102"


def make_router():
    router = CookieRouter(CookieSettings(), DATA_CENTRES[0], Random(0), Instant(START - 60.0))
    router.handle(RoutingApplied(routing()), START)
    return router


@pytest.fixture
def run(monkeypatch, capsys):
    """Return a function that runs the command against a router; None stands for no response."""

    def run_command(router, *arguments):
        def explain(query):
            address, flow = read_route_query(query)
            return describe_opening(explain_opening(router, address, flow, START))

        endpoints = AdminEndpoints(
            PlainMetrics(dict, dict, {}), dict, str, explain if router is not None else None
        )

        async def exchange(endpoint, request, *_):
            assert endpoint.host == "10.1.0.10"
            if router is None:
                return None
            received = HttpServerRequest(request.method, request.target, (), b"")
            response = await endpoints.handle(received)
            return ExchangeResponse(response.status, response.headers, response.body)

        monkeypatch.setattr(chicorypost.commands._route, "exchange_once", exchange)
        code: object = 0
        try:
            cappa.invoke(RootCommand, argv=["route", *arguments])
        except SystemExit as ended:
            code = ended.code
        captured = capsys.readouterr()
        return code, " ".join((captured.out + captured.err).split())

    return run_command


def test_the_text_names_route_and_upstreams(run):
    router = make_router()
    router.handle(VisibleUpstreamsChanged((make_visible(0), make_visible(4))), START)
    name = router.document.routes[0].name
    number, port = router.document.routes[0].address.split(":")
    host = ".".join(str(octet) for octet in int(number).to_bytes(4, "big"))
    code, output = run(router, f"{host}:{port}", "--balancer", BALANCER)
    assert code == ExitCode.OK
    assert f"route: {name}" in output
    assert "50.0% i-1 in a: score 0.50" in output
    code, output = run(router, f"{host}:{port}", "--balancer", BALANCER, "--json")
    assert len(json.loads(output)["services"][0]["upstreams"]) == 2


def test_an_opening_that_would_be_reset_ends_with_the_code_for_a_refusal(run):
    """A script that checks the exit code would take a refusal for a destination."""
    code, output = run(make_router(), "198.18.0.9:1", "--balancer", BALANCER)
    assert code == ExitCode.REFUSED
    assert "would not be forwarded: no-route" in output


def test_a_balancer_that_does_not_respond_is_reported_as_unreachable(run):
    code, output = run(None, "198.18.0.1:443", "--balancer", BALANCER)
    assert code == ExitCode.UNREACHABLE
    assert f"{BALANCER} did not respond" in output


@pytest.mark.parametrize(
    ("arguments", "reported"),
    [
        (["198.18.0.1", "--balancer", BALANCER], "field `address`"),
        (["198.18.0.1:443", "--client", "x:1", "--balancer", BALANCER], "field `client`"),
        (["198.18.0.1:443", "--balancer", "nonsense"], "nonsense"),
    ],
)
def test_an_invalid_address_is_a_usage_error(run, arguments, reported):
    code, output = run(make_router(), *arguments)
    assert code == ExitCode.USAGE
    assert reported in output


def test_a_process_without_routes_says_so(run):
    """The admin listener of a control instance answers 404 to the query."""
    endpoints = AdminEndpoints(PlainMetrics(dict, dict, {}), dict, str)
    response = trio.run(endpoints.handle, HttpServerRequest("GET", "/route?address=x", (), b""))
    assert response.status == 404


def test_the_queried_flow_is_that_of_the_packet():
    """Another key would select another service of a route with weights."""
    packet = read_packet(SYN)
    assert isinstance(packet, CookiePacket)
    address, flow = read_route_query({"address": "198.18.0.1:443", "client": "100.64.0.7:40001"})
    assert (address, flow) == (packet.address, packet.flow)
