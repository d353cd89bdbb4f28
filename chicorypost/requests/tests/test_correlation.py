"""Answers find the attempt they belong to, or none; retries stay within their budget."""

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
    """One entry whose messages go nowhere; the test plays the dispatchers."""

    def __init__(self):
        self.world = Simulation("ab")
        self.service = self.world.nodes["a"].service
        self.now = self.world.now

    def request(self, seconds=10.0):
        call = self.world.call("a", None, seconds, target="/status", method="GET")
        event = self.world.pending.pop()[1][1]
        return call.ticket, self.find_dispatch(self.service.handle(event, Instant(self.now)))

    def find_dispatch(self, effects):
        sent = [effect.message for effect in effects if isinstance(effect, Send)]
        return next((each for each in sent if isinstance(each, DispatchRequest)), None)

    def reply(
        self, attempt, outcome=DispatchOutcome.RESPONDED, response=COMPLETE_RESPONSE, upstream=None
    ):
        answer = DispatchReply(
            attempt.attempt, upstream or attempt.upstream, outcome, "", response, 0, 0, 700
        )
        return self.service.handle(Received(InstanceId("b"), answer), Instant(self.now))


def responses_by_ticket(effects):
    return {e.ticket: e.response for e in effects if isinstance(e, Respond)}


def count_dropped(effects):
    return sum(isinstance(e, Emit) and e.spec is ANSWER_DROPPED for e in effects)


def test_crossed_answers_reach_their_own_callers():
    lone = IsolatedEntry()
    pairs = [lone.request() for _ in range(3)]
    for ticket, attempt in reversed(pairs):
        body = HttpResponse(200, (), attempt.attempt.encode())
        heard = responses_by_ticket(lone.reply(attempt, response=body))
        assert heard[ticket].body == attempt.attempt.encode()
        assert list(heard) == [ticket]


def test_late_double_and_foreign_answers_are_dropped_and_counted():
    lone = IsolatedEntry()
    _, attempt = lone.request()
    assert count_dropped(lone.reply(attempt, upstream=UpstreamId("u9"))) == 1
    assert len(responses_by_ticket(lone.reply(attempt))) == 1
    double = lone.reply(attempt)
    assert responses_by_ticket(double) == {} and count_dropped(double) == 1


def test_a_truncated_answer_is_never_passed_on_as_whole():
    lone = IsolatedEntry()
    ticket, attempt = lone.request()
    heard = responses_by_ticket(lone.reply(attempt, response=None))
    assert dict(heard[ticket].headers)["Chicorypost-Outcome"] == "outcome-unknown"


def test_an_answer_to_a_given_up_attempt_is_dropped_and_the_retry_is_answered():
    lone = IsolatedEntry()
    lone.service.entry.budget.add_success(ORDERS, 1.0)
    ticket, first = lone.request()
    lone.now += 5.0
    effects = lone.service.entry.tick(Instant(lone.now))
    second = lone.find_dispatch(effects)
    assert second.attempt != first.attempt and second.upstream != first.upstream
    assert count_dropped(lone.reply(first)) == 1
    assert list(responses_by_ticket(lone.reply(second))) == [ticket]


def test_the_runner_takes_one_answer_per_attempt_and_only_from_its_upstream():
    world = Simulation("ab")
    runner = world.nodes["a"].service.runner
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
    runner.handle_message(InstanceId("b"), run, Instant(world.now))
    for upstream, body, kept in (("u2", b"crossed", 0), ("u1", b"own", 1), ("u1", b"twice", 0)):
        response = HttpResponse(200, (), body)
        answer = DispatchReply(
            run.attempt, UpstreamId(upstream), DispatchOutcome.RESPONDED, "", response, 0, 0, 0
        )
        effects = runner.handle_dispatch_reply(answer, Instant(world.now))
        assert count_dropped(effects) == 1 - kept
    held = runner.attempts[run.attempt].result
    assert isinstance(held, AttemptResult)
    assert held.response == HttpResponse(200, (), b"own")


@pytest.mark.parametrize(
    "failure", [(DispatchOutcome.UNKNOWN, None), (DispatchOutcome.RESPONDED, UNAVAILABLE_RESPONSE)]
)
def test_retries_stay_within_a_share_of_successes(failure):
    lone = IsolatedEntry()
    random = Random(4)
    requests = attempts = 0
    for _ in range(1000):
        _, attempt = lone.request()
        requests += 1
        while attempt is not None:
            attempts += 1
            answer = (
                failure if random.random() < 0.5 else (DispatchOutcome.RESPONDED, COMPLETE_RESPONSE)
            )
            attempt = lone.find_dispatch(lone.reply(attempt, *answer))
    assert attempts / requests <= 1.1
    assert attempts > requests


def test_without_successes_nothing_is_retried():
    lone = IsolatedEntry()
    for _ in range(50):
        _, attempt = lone.request()
        assert lone.find_dispatch(lone.reply(attempt, DispatchOutcome.UNKNOWN, None)) is None


def test_an_attempt_that_did_not_start_goes_to_another_upstream_then_is_refused():
    lone = IsolatedEntry()
    ticket, first = lone.request()
    second = lone.find_dispatch(lone.reply(first, DispatchOutcome.NOT_STARTED, None))
    assert second.upstream != first.upstream
    heard = responses_by_ticket(lone.reply(second, DispatchOutcome.NOT_STARTED, None))
    headers = dict(heard[ticket].headers)
    assert headers["Chicorypost-Outcome"] == "try-again" and headers["Retry-After"] == "1"


def test_a_dispatcher_that_leaves_the_view_ends_its_attempts():
    lone = IsolatedEntry()
    world = lone.world
    calls = [lone.request()[0] for _ in range(4)]
    heard: dict[int, HttpResponse] = {}
    for name in "ab":
        view = world.views[DATA_CENTRE]
        rest = tuple(member for member in view.members if member.instance != name)
        later = View(DATA_CENTRE, Epoch(view.epoch + 1 + (name == "b")), rest)
        heard |= responses_by_ticket(lone.service.handle(ViewChanged(later), Instant(lone.now)))
    assert set(heard) == set(calls)
