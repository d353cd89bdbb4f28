"""Client that resends a request until its outcome is certain or its deadline has passed."""

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
    """Result of a request with all its attempts.

    Parameters
    ----------
    outcome : Outcome
        Outcome with the guarantees that docs/CALLERS.md describes.
    key : RequestKey
        Key of the request; a later call may reuse it after `OUTCOME_UNKNOWN` or `TRY_AGAIN`.
    response : ExchangeResponse or None
        Last response received, if any; with `DONE` the response of the upstream.
    attempts : int
        Number of attempts.
    """

    outcome: Outcome
    key: RequestKey
    response: ExchangeResponse | None
    attempts: int


class Client:
    """Client of services behind chicorypost.

    Parameters
    ----------
    settings : ClientSettings
        Addresses, timeouts and limits.
    random : random.Random, optional
        Source of the random part of keys; `random.SystemRandom` by default.
    wall_clock : callable, default time.time
        Returns the wall clock time, in seconds since the Unix epoch.
    exchange : callable, default exchange_once
        Sends one request and returns its response.

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
        """Create an idempotency key; a caller that persists it can resend after a crash."""
        return make_key(self.settings.data_centre, WallTime(self.wall_clock()), self.random)

    async def call(
        self,
        request: ExchangeRequest,
        key: RequestKey | None = None,
        deadline_seconds: float | None = None,
    ) -> CallResult:
        """Send a request and resend it with the same key until its outcome is certain.

        Parameters
        ----------
        request : ExchangeRequest
            Request without the headers of key and deadline.
        key : RequestKey, optional
            Key of an earlier call whose outcome is uncertain; a new key by default.
        deadline_seconds : float, optional
            Timeout of the whole call; `ClientSettings.deadline_seconds` by default.

        Returns
        -------
        CallResult
            Outcome at the latest at the deadline. It is `OUTCOME_UNKNOWN` if an attempt may have
            run the request and no response has settled it.
        """
        call_seconds = deadline_seconds or self.settings.deadline_seconds
        deadline = trio.current_time() + call_seconds
        result = CallResult(Outcome.TRY_AGAIN, key or self.new_key(), None, 0)
        backoff = self.settings.backoff_seconds
        while trio.current_time() < deadline:
            exchange_result = await self._attempt(request, result.key, deadline)
            result = _update_result(result, exchange_result)
            if result.outcome in CERTAIN_OUTCOMES:
                return result
            retry_after = _read_retry_after(exchange_result)
            pause = min(
                backoff if retry_after is None else retry_after, self.settings.max_wait_seconds
            )
            backoff = self.settings.backoff_seconds if retry_after is not None else backoff * 2
            await trio.sleep_until(min(deadline, trio.current_time() + pause))
        return result

    async def _attempt(
        self, request: ExchangeRequest, key: RequestKey, deadline: float
    ) -> ExchangeResponse | ExchangeFailed:
        endpoints = self.settings.endpoints
        endpoint = Endpoint(*endpoints[self.next_endpoint % len(endpoints)])
        self.next_endpoint += 1
        attempt_deadline = min(deadline, trio.current_time() + self.settings.attempt_seconds)
        wall_deadline = self.wall_clock() + deadline - trio.current_time()
        headers = ((KEY_HEADER, f'"{key}"'), (DEADLINE_HEADER, f"{wall_deadline:.3f}"))
        complete_request = ExchangeRequest(
            request.method, request.target, request.headers + headers, request.body
        )
        with trio.CancelScope(deadline=attempt_deadline):
            return await self.exchange(endpoint, complete_request, self.settings.body_bytes)
        return ExchangeFailed(ExchangeFault.BROKEN, "no complete response in time")


def _update_result(
    previous: CallResult, exchange_result: ExchangeResponse | ExchangeFailed
) -> CallResult:
    attempts = previous.attempts + 1
    if isinstance(exchange_result, ExchangeFailed):
        was_sent = exchange_result.fault is not ExchangeFault.UNREACHABLE
        outcome = Outcome.OUTCOME_UNKNOWN if was_sent else previous.outcome
        return CallResult(outcome, previous.key, previous.response, attempts)
    outcome = _read_outcome(exchange_result)
    if outcome is Outcome.TRY_AGAIN:
        # This attempt didn't run the request, but an uncertain earlier attempt may have.
        outcome = previous.outcome
    return CallResult(outcome, previous.key, exchange_result, attempts)


def _read_outcome(response: ExchangeResponse) -> Outcome:
    try:
        return Outcome(response.header(OUTCOME_HEADER))
    except ValueError:
        # Without a valid outcome header the response comes from an intermediary.
        return Outcome.OUTCOME_UNKNOWN


def _read_retry_after(exchange_result: ExchangeResponse | ExchangeFailed) -> float | None:
    text = (
        exchange_result.header(RETRY_AFTER_HEADER)
        if isinstance(exchange_result, ExchangeResponse)
        else None
    )
    return float(text) if text is not None and text.isascii() and text.isdigit() else None
