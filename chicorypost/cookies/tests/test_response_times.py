"""Which upstreams a balancer takes for slow."""

import pytest

from chicorypost.base import FlowKey, Instant, UpstreamId
from chicorypost.cookies import CookieSettings
from chicorypost.cookies._response_times import ResponseTimes

SETTINGS = CookieSettings()
NAMES = [UpstreamId(f"i-{number}") for number in range(5)]
USUAL_SECONDS = 0.1
START = Instant(100.0)


def respond(times, upstream, seconds, now=START):
    flow = FlowKey(upstream.encode())
    times.start_request(flow, upstream, Instant(now - seconds))
    times.finish_request(flow, upstream, now)


@pytest.fixture
def times():
    times = ResponseTimes(SETTINGS)
    for name in NAMES:
        respond(times, name, USUAL_SECONDS)
    return times


def compare(times, now=START):
    return times.compare_upstreams([NAMES], now)


def test_upstreams_with_usual_response_times_are_not_slow(times):
    respond(times, NAMES[0], 1.9 * USUAL_SECONDS)
    assert compare(times) == {}


def test_slowness_is_relative_to_the_usual_response_time_of_the_service(times):
    for _ in range(30):
        respond(times, NAMES[0], 6 * USUAL_SECONDS)
    assert compare(times) == {NAMES[0]: pytest.approx(6 / SETTINGS.usual_slowness, rel=0.01)}


def test_one_long_response_among_usual_ones_does_not_make_an_upstream_slow(times):
    respond(times, NAMES[0], 4 * USUAL_SECONDS)
    assert compare(times) == {}


def test_an_upstream_that_stops_responding_is_slow_before_its_request_times_out(times):
    times.start_request(FlowKey(b"hung"), NAMES[0], START)
    assert compare(times, Instant(START + USUAL_SECONDS)) == {}
    assert list(compare(times, Instant(START + 10 * USUAL_SECONDS))) == [NAMES[0]]


def test_a_request_whose_response_passed_another_balancer_counts_for_a_limited_time(times):
    times.start_request(FlowKey(b"elsewhere"), NAMES[0], START)
    late = Instant(START + SETTINGS.max_request_seconds)
    for name in NAMES[1:]:
        respond(times, name, USUAL_SECONDS, late)
    assert compare(times, late) == {}


def test_slowness_is_bounded(times):
    times.start_request(FlowKey(b"hung"), NAMES[0], START)
    assert compare(times, Instant(START + 3.9)) == {NAMES[0]: SETTINGS.max_slowness}


def test_an_upstream_without_responses_for_a_while_is_not_slow(times):
    for _ in range(30):
        respond(times, NAMES[0], 6 * USUAL_SECONDS)
    later = Instant(START + SETTINGS.response_memory_seconds)
    for name in NAMES[1:]:
        respond(times, name, USUAL_SECONDS, later)
    assert compare(times, later) == {}


def test_an_upstream_that_restarts_loses_its_record(times):
    for _ in range(30):
        respond(times, NAMES[0], 6 * USUAL_SECONDS)
    compare(times)
    times.start_request(FlowKey(b"before"), NAMES[0], START)
    times.remove_upstream(NAMES[0])
    times.finish_request(FlowKey(b"before"), NAMES[0], START)
    assert times.slowness == {} and compare(times) == {}


def test_few_upstreams_are_not_compared():
    """Of two upstreams nothing tells which one is the usual one."""
    times = ResponseTimes(SETTINGS)
    respond(times, NAMES[0], USUAL_SECONDS)
    respond(times, NAMES[1], 50 * USUAL_SECONDS)
    assert compare(times) == {}


def test_services_are_compared_each_by_itself():
    times = ResponseTimes(SETTINGS)
    fast, slow = NAMES, [UpstreamId(f"j-{number}") for number in range(3)]
    for name in fast:
        respond(times, name, USUAL_SECONDS)
    for name in slow:
        respond(times, name, 20 * USUAL_SECONDS)
    assert times.compare_upstreams([fast, slow], START) == {}
