"""Tests that replies are matched to their attempts and that retries stay within the budget."""

from random import Random

import pytest

from chicorypost.base import (
    AttemptId,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    Received,
    RequestKey,
    Send,
    UpstreamId,
    View,
    ViewChanged,
)
from chicorypost.configuration import Priority
from chicorypost.events import Emit
from chicorypost.requests import Respond
from chicorypost.requests._events import ANSWER_DROPPED
from chicorypost.requests._messages import AttemptResult, RunAttempt
from chicorypost.requests.tests._simulation import DATA_CENTRE, ORDERS, Simulation
from chicorypost.upstreams import (
    DispatchOutcome,
    DispatchReply,
    DispatchRequest,
    HttpRequest,
    HttpResponse,
)

COMPLETE_RESPONSE = HttpResponse(200, (), b"whole")
UNAVAILABLE_RESPONSE = HttpResponse(503, (), b"busy")


class IsolatedEntry:
    """One entry whose messages are not delivered; the test replies as the dispatchers."""

    def __init__(self):
        self.simulation = Simulation("ab")
        self.service = self.simulation.nodes["a"].service
        self.now = self.simulation.now

    def request(self, seconds=10.0):
        call = self.simulation.call("a", None, seconds, target="/status", method="GET")
        event = self.simulation.pending.pop()[1][1]
        return call.ticket, self.find_dispatch(self.service.handle(event, Instant(self.now)))

    def find_dispatch(self, effects):
        sent = [effect.message for effect in effects if isinstance(effect, Send)]
        return next((each for each in sent if isinstance(each, DispatchRequest)), None)

    def reply(
        self, attempt, outcome=DispatchOutcome.RESPONDED, response=COMPLETE_RESPONSE, upstream=None
    ):
        dispatch_reply = DispatchReply(
            attempt.attempt, upstream or attempt.upstream, outcome, "", response, 0, 0, 700
        )
        return self.service.handle(Received(InstanceId("b"), dispatch_reply), Instant(self.now))


def responses_by_ticket(effects):
    return {e.ticket: e.response for e in effects if isinstance(e, Respond)}


def count_dropped(effects):
    return sum(isinstance(e, Emit) and e.spec is ANSWER_DROPPED for e in effects)


def test_replies_in_reverse_order_reach_their_own_callers():
    entry = IsolatedEntry()
    pairs = [entry.request() for _ in range(3)]
    for ticket, attempt in reversed(pairs):
        body = HttpResponse(200, (), attempt.attempt.encode())
        responses = responses_by_ticket(entry.reply(attempt, response=body))
        assert responses[ticket].body == attempt.attempt.encode()
        assert list(responses) == [ticket]


def test_duplicate_replies_and_those_of_another_upstream_are_dropped_and_counted():
    entry = IsolatedEntry()
    _, attempt = entry.request()
    assert count_dropped(entry.reply(attempt, upstream=UpstreamId("u9"))) == 1
    assert len(responses_by_ticket(entry.reply(attempt))) == 1
    double = entry.reply(attempt)
    assert responses_by_ticket(double) == {} and count_dropped(double) == 1


def test_a_truncated_answer_is_never_passed_on_as_whole():
    entry = IsolatedEntry()
    ticket, attempt = entry.request()
    responses = responses_by_ticket(entry.reply(attempt, response=None))
    assert dict(responses[ticket].headers)["Chicorypost-Outcome"] == "outcome-unknown"


def test_an_answer_to_a_given_up_attempt_is_dropped_and_the_retry_is_answered():
    entry = IsolatedEntry()
    entry.service.entry.budget.add_success(ORDERS, 1.0)
    ticket, first = entry.request()
    entry.now += 5.0
    effects = entry.service.entry.tick(Instant(entry.now))
    second = entry.find_dispatch(effects)
    assert second.attempt != first.attempt and second.upstream != first.upstream
    assert count_dropped(entry.reply(first)) == 1
    assert list(responses_by_ticket(entry.reply(second))) == [ticket]


def test_the_runner_takes_one_answer_per_attempt_and_only_from_its_upstream():
    simulation = Simulation("ab")
    runner = simulation.nodes["a"].service.runner
    one = Incarnation(1)
    request = HttpRequest("POST", "/orders", (), b"k")
    run = RunAttempt(
        AttemptId("b/1/1"),
        one,
        1,
        1,
        one,
        ORDERS,
        RequestKey("k"),
        UpstreamId("u1"),
        Priority.CONFIRMATION,
        1000,
        1000,
        request,
    )
    runner.handle_message(InstanceId("b"), run, Instant(simulation.now))
    for upstream, body, kept in (("u2", b"crossed", 0), ("u1", b"own", 1), ("u1", b"twice", 0)):
        response = HttpResponse(200, (), body)
        dispatch_reply = DispatchReply(
            run.attempt, UpstreamId(upstream), DispatchOutcome.RESPONDED, "", response, 0, 0, 0
        )
        effects = runner.handle_dispatch_reply(dispatch_reply, Instant(simulation.now))
        assert count_dropped(effects) == 1 - kept
    held = runner.attempts[run.attempt].result
    assert isinstance(held, AttemptResult)
    assert held.response == HttpResponse(200, (), b"own")


@pytest.mark.parametrize(
    "failure", [(DispatchOutcome.UNKNOWN, None), (DispatchOutcome.RESPONDED, UNAVAILABLE_RESPONSE)]
)
def test_retries_stay_within_a_share_of_successes(failure):
    entry = IsolatedEntry()
    random = Random(4)
    requests = attempts = 0
    for _ in range(1000):
        _, attempt = entry.request()
        requests += 1
        while attempt is not None:
            attempts += 1
            reply_arguments = (
                failure if random.random() < 0.5 else (DispatchOutcome.RESPONDED, COMPLETE_RESPONSE)
            )
            attempt = entry.find_dispatch(entry.reply(attempt, *reply_arguments))
    assert attempts / requests <= 1.1
    assert attempts > requests


def test_without_successes_nothing_is_retried():
    entry = IsolatedEntry()
    for _ in range(50):
        _, attempt = entry.request()
        assert entry.find_dispatch(entry.reply(attempt, DispatchOutcome.UNKNOWN, None)) is None


def test_an_attempt_that_did_not_start_goes_to_another_upstream_then_is_refused():
    entry = IsolatedEntry()
    ticket, first = entry.request()
    second = entry.find_dispatch(entry.reply(first, DispatchOutcome.NOT_STARTED, None))
    assert second.upstream != first.upstream
    responses = responses_by_ticket(entry.reply(second, DispatchOutcome.NOT_STARTED, None))
    headers = dict(responses[ticket].headers)
    assert headers["Chicorypost-Outcome"] == "try-again" and headers["Retry-After"] == "1"


def test_a_dispatcher_that_leaves_the_view_ends_its_attempts():
    entry = IsolatedEntry()
    simulation = entry.simulation
    calls = [entry.request()[0] for _ in range(4)]
    responses: dict[int, HttpResponse] = {}
    for name in "ab":
        view = simulation.views[DATA_CENTRE]
        rest = tuple(member for member in view.members if member.instance != name)
        later = View(DATA_CENTRE, Epoch(view.epoch + 1 + (name == "b")), rest)
        responses |= responses_by_ticket(
            entry.service.handle(ViewChanged(later), Instant(entry.now))
        )
    assert set(responses) == set(calls)
