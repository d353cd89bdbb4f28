"""Tests of the client library: resends with one key, outcomes and deadlines."""

from random import Random
from typing import Any

import pytest
import trio
import trio.testing

from chicorypost.client import Client, ClientSettings
from chicorypost.requests import Outcome
from chicorypost.transport import ExchangeFailed, ExchangeFault, ExchangeRequest, ExchangeResponse

ORDER = ExchangeRequest("POST", "/orders", (), b"last 7")
REFUSED = ExchangeFailed(ExchangeFault.UNREACHABLE, "")
BROKEN = ExchangeFailed(ExchangeFault.BROKEN, "")
SILENT = None


def make_response(outcome, *headers):
    return ExchangeResponse(200, (("Chicorypost-Outcome", outcome), *headers), b"")


DONE = make_response("done")
AGAIN = make_response("try-again", ("Retry-After", "2"))
UNKNOWN = make_response("outcome-unknown", ("Retry-After", "2"))
INTERMEDIARY = ExchangeResponse(502, (), b"proxy")


def call(script, seconds=10.0):
    """Run a call against scripted replies; return its result, its attempts and its duration."""
    sent: list[tuple[float, Any, str]] = []

    async def exchange(endpoint, request, body_bytes):
        reply = script[min(len(sent), len(script) - 1)]
        sent.append((trio.current_time(), endpoint, dict(request.headers)["Idempotency-Key"]))
        if reply is SILENT:
            await trio.sleep_forever()
        return reply

    async def main():
        settings = ClientSettings(endpoints=(("a", 1), ("b", 1)))
        client = Client(settings, Random(1), lambda: 1.8e9, exchange)
        result = await client.call(ORDER, deadline_seconds=seconds)
        return result, trio.current_time()

    result, end = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return result, sent, end - sent[0][0]


@pytest.mark.parametrize(
    ("script", "outcome", "attempts"),
    [
        ([DONE], Outcome.DONE, 1),
        ([AGAIN, DONE], Outcome.DONE, 2),
        ([UNKNOWN, REFUSED, DONE], Outcome.DONE, 3),
        ([BROKEN, make_response("not-run")], Outcome.NOT_RUN, 2),
        ([SILENT, DONE], Outcome.DONE, 2),
        ([make_response("rejected")], Outcome.REJECTED, 1),
        ([INTERMEDIARY, DONE], Outcome.DONE, 2),
    ],
)
def test_the_same_key_is_sent_until_the_outcome_is_certain(script, outcome, attempts):
    result, sent, _ = call(script)
    assert (result.outcome, result.attempts) == (outcome, attempts)
    assert {key for _, _, key in sent} == {f'"{result.key}"'}


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        ([REFUSED], Outcome.TRY_AGAIN),
        ([AGAIN], Outcome.TRY_AGAIN),
        ([BROKEN, REFUSED], Outcome.OUTCOME_UNKNOWN),
        ([UNKNOWN, AGAIN], Outcome.OUTCOME_UNKNOWN),
        ([SILENT], Outcome.OUTCOME_UNKNOWN),
        ([INTERMEDIARY], Outcome.OUTCOME_UNKNOWN),
    ],
)
def test_the_outcome_at_the_deadline_is_unknown_if_an_attempt_may_have_run(script, outcome):
    result, _, duration = call(script, seconds=7.0)
    assert result.outcome is outcome
    assert duration == pytest.approx(7.0)


def test_retry_after_is_honoured_and_the_next_address_is_taken():
    _, sent, _ = call([AGAIN, DONE])
    assert sent[1][0] - sent[0][0] == pytest.approx(2.0)
    assert [endpoint.host for _, endpoint, _ in sent] == ["a", "b"]
