"""Sends a request until its outcome is certain or its deadline has come."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random, SystemRandom

import trio

from chicorypost.base import Endpoint, RequestKey, WallTime
from chicorypost.client._settings import ClientSettings
from chicorypost.requests import OUTCOME_HEADER, Outcome, make_key
from chicorypost.transport import (
    ExchangeFailed,
    ExchangeFault,
    ExchangeRequest,
    ExchangeResponse,
    exchange_once,
)

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Request-Deadline"
RETRY_AFTER_HEADER = "Retry-After"
CERTAIN_OUTCOMES = (Outcome.DONE, Outcome.NOT_RUN, Outcome.REJECTED)

ExchangeFunction = Callable[
    [Endpoint, ExchangeRequest, int], Awaitable[ExchangeResponse | ExchangeFailed]
]


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a request ended.

    Parameters
    ----------
    outcome : Outcome
        What is certain; the promises are those of docs/CALLERS.md.
    key : RequestKey
        The key: with `OUTCOME_UNKNOWN` or `TRY_AGAIN`, call again with it.
    answer : ExchangeResponse or None
        The last answer; the upstream's own with `DONE`.
    attempts : int
        How often the request was sent.
    """

    outcome: Outcome
    key: RequestKey
    response: ExchangeResponse | None
    attempts: int


class Client:
    """A caller of services behind chicorypost.

    Parameters
    ----------
    settings : ClientSettings
        Addresses and times.
    random : random.Random, optional
        Source of the keys' random part.
    wall : callable, default time.time
        The wall clock.
    exchange : callable, default exchange_once
        Makes one exchange.

    Examples
    --------
    >>> client = Client(ClientSettings(endpoints=(("127.0.0.1", 8080),)))
    >>> client.new_key() != client.new_key()
    True
    """

    def __init__(
        self,
        settings: ClientSettings,
        random: Random | None = None,
        wall_clock: Callable[[], float] = time.time,
        exchange: ExchangeFunction = exchange_once,
    ) -> None:
        self.settings = settings
        self.random = random or SystemRandom()
        self.wall_clock = wall_clock
        self.exchange = exchange
        self.next_endpoint = 0

    def new_key(self) -> RequestKey:
        """Make a key; keep it where it survives the caller to ask again after a crash."""
        return make_key(self.settings.data_centre, WallTime(self.wall_clock()), self.random)

    async def call(
        self,
        request: ExchangeRequest,
        key: RequestKey | None = None,
        deadline_seconds: float | None = None,
    ) -> CallResult:
        """Send a request, and again with the same key until its outcome is certain.

        Parameters
        ----------
        request : ExchangeRequest
            The request without key and deadline.
        key : RequestKey, optional
            Key of an earlier call whose outcome is not certain; a new one by default.
        deadline_seconds : float, optional
            Time for the whole call; that of the settings by default.

        Returns
        -------
        CallResult
            The outcome. `OUTCOME_UNKNOWN` if the deadline came after anything was sent.
        """
        wanted = deadline_seconds or self.settings.deadline_seconds
        deadline = trio.current_time() + wanted
        result = CallResult(Outcome.TRY_AGAIN, key or self.new_key(), None, 0)
        wait = self.settings.backoff_seconds
        while trio.current_time() < deadline:
            reply = await self._attempt(request, result.key, deadline)
            result = _update_result(result, reply)
            if result.outcome in CERTAIN_OUTCOMES:
                return result
            asked = _read_retry_after(reply)
            pause = min(wait if asked is None else asked, self.settings.max_wait_seconds)
            wait = self.settings.backoff_seconds if asked is not None else wait * 2
            await trio.sleep_until(min(deadline, trio.current_time() + pause))
        return result

    async def _attempt(
        self, request: ExchangeRequest, key: RequestKey, deadline: float
    ) -> ExchangeResponse | ExchangeFailed:
        endpoints = self.settings.endpoints
        endpoint = Endpoint(*endpoints[self.next_endpoint % len(endpoints)])
        self.next_endpoint += 1
        end = min(deadline, trio.current_time() + self.settings.attempt_seconds)
        until = self.wall_clock() + deadline - trio.current_time()
        headers = ((KEY_HEADER, f'"{key}"'), (DEADLINE_HEADER, f"{until:.3f}"))
        sent = ExchangeRequest(
            request.method, request.target, request.headers + headers, request.body
        )
        with trio.CancelScope(deadline=end):
            return await self.exchange(endpoint, sent, self.settings.body_bytes)
        return ExchangeFailed(ExchangeFault.BROKEN, "no whole answer in time")


def _update_result(former: CallResult, reply: ExchangeResponse | ExchangeFailed) -> CallResult:
    attempts = former.attempts + 1
    if isinstance(reply, ExchangeFailed):
        was_sent = reply.fault is not ExchangeFault.UNREACHABLE
        outcome = Outcome.OUTCOME_UNKNOWN if was_sent else former.outcome
        return CallResult(outcome, former.key, former.response, attempts)
    outcome = _read_outcome(reply)
    if outcome is Outcome.TRY_AGAIN:
        # This attempt decided nothing: what an earlier one left open stays open.
        outcome = former.outcome
    return CallResult(outcome, former.key, reply, attempts)


def _read_outcome(answer: ExchangeResponse) -> Outcome:
    try:
        return Outcome(answer.header(OUTCOME_HEADER))
    except ValueError:
        # Something in between answered: nothing is known of the request.
        return Outcome.OUTCOME_UNKNOWN


def _read_retry_after(reply: ExchangeResponse | ExchangeFailed) -> float | None:
    text = reply.header(RETRY_AFTER_HEADER) if isinstance(reply, ExchangeResponse) else None
    return float(text) if text is not None and text.isascii() and text.isdigit() else None
