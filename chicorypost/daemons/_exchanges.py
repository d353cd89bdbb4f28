"""Runs HTTP exchanges with upstreams for the request dispatcher."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from chicorypost.base import AttemptId, Instant, UpstreamId
from chicorypost.daemons._engine import Engine
from chicorypost.daemons._events import LATE_RESPONSE_DROPPED
from chicorypost.transport import (
    ExchangeFailed,
    ExchangeFault,
    ExchangeRequest,
    ExchangeResponse,
    HttpConnection,
    open_http,
)
from chicorypost.upstreams import (
    CancelExchange,
    DispatchOutcome,
    ExchangeEnded,
    HttpResponse,
    StartExchange,
)

ATTEMPT_HEADER = "chicorypost-attempt"
DEADLINE_HEADER = "request-deadline"
MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 4

PoolKey = tuple[UpstreamId, int, str, int]


@dataclass(slots=True)
class UpstreamExchangeRunner:
    """Runs HTTP exchanges with upstreams over a pool of connections.

    Parameters
    ----------
    engine : Engine
        Receives the result of each exchange.
    may_act : callable
        Returns whether this instance holds a lease; checked again before the first byte is sent.
    max_response_bytes : int
        Maximum size of the body of a response, in bytes.

    Notes
    -----
    A connection carries one exchange at a time. It is used again only after a complete response
    that names its attempt in the ``Chicorypost-Attempt`` header: an upstream may send a second copy
    of a response at any time later, and only that header tells it from the response to the next
    attempt. A response on a connection in use again that names no attempt or another one is
    dropped.
    """

    engine: Engine
    may_act: Callable[[Instant], bool]
    max_response_bytes: int
    nursery: trio.Nursery | None = None
    running_scopes: dict[AttemptId, trio.CancelScope] = field(default_factory=dict)
    idle_connections: dict[PoolKey, list[HttpConnection]] = field(default_factory=dict)

    def start_exchange(self, effect: StartExchange) -> None:
        """Start an exchange as a background task."""
        assert self.nursery is not None, "start_exchange was called before the daemon runs"
        self.nursery.start_soon(self._run_exchange, effect)

    def cancel_exchange(self, effect: CancelExchange) -> None:
        """Cancel a running exchange; closing the connection makes the upstream cancel it too."""
        scope = self.running_scopes.get(effect.attempt)
        if scope is not None:
            scope.cancel()

    async def _run_exchange(self, effect: StartExchange) -> None:
        result: ExchangeResponse | ExchangeFailed
        result = ExchangeFailed(ExchangeFault.BROKEN, "cancelled or past its deadline")
        with trio.CancelScope(deadline=effect.deadline) as scope:
            self.running_scopes[effect.attempt] = scope
            result = await self._send_request(effect)
        del self.running_scopes[effect.attempt]
        self.engine.post(self._make_exchange_ended(effect, result))

    async def _send_request(self, effect: StartExchange) -> ExchangeResponse | ExchangeFailed:
        connection = await self._connect(effect)
        if isinstance(connection, ExchangeFailed):
            return connection
        try:
            if not self.may_act(self.engine.now()):
                return ExchangeFailed(ExchangeFault.UNREACHABLE, "lease ended before sending")
            result = await connection.exchange(self._make_request(effect))
            return self._check_attempt(effect, connection, result)
        finally:
            await self._release_connection(effect, connection)

    def _check_attempt(
        self,
        effect: StartExchange,
        connection: HttpConnection,
        result: ExchangeResponse | ExchangeFailed,
    ) -> ExchangeResponse | ExchangeFailed:
        """Return the result, or a failure if the response may belong to another attempt."""
        if isinstance(result, ExchangeFailed):
            return result
        named_attempt = result.header(ATTEMPT_HEADER)
        if named_attempt == effect.attempt:
            connection.names_attempts = True
            return result
        is_first_exchange = not connection.names_attempts
        connection.is_reusable = False
        if named_attempt is None and is_first_exchange:
            return result
        event = LATE_RESPONSE_DROPPED.emit(
            upstream=effect.upstream.upstream, attempt=named_attempt or ""
        )
        self.engine.emit(event)
        return ExchangeFailed(ExchangeFault.BROKEN, "the answer doesn't name this attempt")

    async def _connect(self, effect: StartExchange) -> HttpConnection | ExchangeFailed:
        idle = self.idle_connections.get(_pool_key(effect), [])
        while idle:
            connection = idle.pop()
            if connection.is_open():
                return connection
            await connection.aclose()
        return await open_http(effect.upstream.requests, self.max_response_bytes)

    async def _release_connection(self, effect: StartExchange, connection: HttpConnection) -> None:
        idle = self.idle_connections.setdefault(_pool_key(effect), [])
        if connection.is_reusable and len(idle) < MAX_IDLE_CONNECTIONS_PER_UPSTREAM:
            idle.append(connection)
        else:
            await connection.aclose()

    def _make_request(self, effect: StartExchange) -> ExchangeRequest:
        remaining = max(0.0, effect.deadline - self.engine.now())
        own_headers = (
            (ATTEMPT_HEADER, effect.attempt),
            (DEADLINE_HEADER, f"{time.time() + remaining:.3f}"),
        )
        request = effect.request
        return ExchangeRequest(
            request.method, request.target, request.headers + own_headers, request.body
        )

    def _make_exchange_ended(
        self, effect: StartExchange, result: ExchangeResponse | ExchangeFailed
    ) -> ExchangeEnded:
        match result:
            case ExchangeResponse():
                response = HttpResponse(result.status, result.headers, result.body)
                outcome = DispatchOutcome.RESPONDED
                return ExchangeEnded(effect.attempt, outcome, "answered", response)
            case ExchangeFailed(fault=ExchangeFault.UNREACHABLE, detail=detail):
                not_started = DispatchOutcome.NOT_STARTED
                return ExchangeEnded(effect.attempt, not_started, detail, None)
        return ExchangeEnded(effect.attempt, DispatchOutcome.UNKNOWN, result.detail, None)


def _pool_key(effect: StartExchange) -> PoolKey:
    upstream = effect.upstream
    endpoint = upstream.requests
    return upstream.upstream, upstream.incarnation, endpoint.host, endpoint.port
