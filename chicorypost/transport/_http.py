"""HTTP/1.1 server based on `h11`: handlers receive and return complete messages."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import SplitResult, parse_qs, urlsplit

import h11
import msgspec
import trio

from chicorypost.events import Emit
from chicorypost.transport._events import CONNECTIONS_FULL, HTTP_REFUSED, UNEXPECTED_ERROR
from chicorypost.transport._settings import HttpSettings
from chicorypost.transport._tls import TlsContexts, certificate_names

RECEIVE_BYTES = 64 * 1024
DRAIN_POLL_SECONDS = 0.02


class HttpServerRequest(msgspec.Struct, frozen=True):
    """A received HTTP request.

    `connection_state` is shared by all requests of one connection and ends with it; a handler may
    keep there what an earlier request on the same connection has shown about its sender.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str = ""
    connection_state: dict[str, Any] = msgspec.field(default_factory=dict)

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        lower_name = name.lower()
        return next((value for key, value in self.headers if key.lower() == lower_name), None)

    @property
    def path(self) -> str:
        """The request target without its query; empty if the target isn't a valid URL."""
        return _split_target(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The last value of each query parameter."""
        parsed = parse_qs(_split_target(self.target).query, keep_blank_values=True)
        return {name: values[-1] for name, values in parsed.items()}


class HttpServerResponse(msgspec.Struct, frozen=True):
    """An HTTP response to send."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpServerRequest], HttpServerResponse | Awaitable[HttpServerResponse]]
"""Returns the response, or an awaitable of it if the response has to wait for something."""


class _RequestRefusal(msgspec.Struct, frozen=True):
    """Status and reason with which an invalid request is rejected."""

    status: int
    reason: str


class HttpServer(msgspec.Struct):
    """Serves HTTP requests on the connections of one listener.

    Parameters
    ----------
    name : str
        Name of the listener in log events.
    settings : HttpSettings
        Limits.
    handler : callable
        Receives a request and returns the response, or an awaitable of it, which is cancelled when
        the client disconnects.
    emit : callable
        Callback that receives log events.
    tls : TlsContexts, optional
        Contexts of mutual TLS; without them, or if TLS is off, connections are not encrypted.
    allowed_names : frozenset of str
        With TLS, the DNS names of which a client certificate must contain at least one.
    """

    name: str
    settings: HttpSettings
    handler: Handler
    emit: Callable[[Emit], None]
    tls: TlsContexts | None = None
    allowed_names: frozenset[str] = frozenset()
    open_connections: int = 0
    requests_in_progress: int = 0
    refused_requests: int = 0
    failed_requests: int = 0
    evicted_connections: int = 0
    is_stopping: bool = False
    idle_scopes: dict[trio.CancelScope, None] = msgspec.field(default_factory=dict)
    """Connections without a request, the one that is idle for longest first."""
    accept_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)

    async def serve(self, listeners: list[trio.SocketListener]) -> None:
        """Accept and serve connections until cancelled; return at the end of `drain`."""
        async with trio.open_nursery() as nursery:
            with self.accept_scope:
                await trio.serve_listeners(
                    self.serve_connection, listeners, handler_nursery=nursery
                )

    async def drain(self) -> None:
        """Stop, close the listeners after `linger_seconds`, and wait for the last response."""
        self.stop()
        await trio.sleep(self.settings.linger_seconds)
        self.accept_scope.cancel()
        while self.open_connections:
            await trio.sleep(DRAIN_POLL_SECONDS)

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it is closed; a handler for `trio.serve_listeners`."""
        if self.open_connections >= self.settings.connections and not self._evict_idle_connection():
            self.emit(CONNECTIONS_FULL.emit(listener=self.name))
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
        try:
            served_stream = await self._accept_tls(stream)
            if served_stream is not None:
                await self._serve_requests(served_stream)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* AssertionError:
            raise
        except* Exception as errors:
            self._report_error("connection", errors.exceptions[0])
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    def stop(self) -> None:
        """Close every connection after its response, idle ones after `linger_seconds`.

        Connections that are accepted afterwards are served in the same way.
        """
        self.is_stopping = True
        for scope in self.idle_scopes:
            scope.deadline = min(scope.deadline, self._idle_deadline())

    def _evict_idle_connection(self) -> bool:
        """Close the connection that is idle for longest; return False if all are in use."""
        scope = next(iter(self.idle_scopes), None)
        if scope is None:
            return False
        del self.idle_scopes[scope]
        scope.cancel()
        self.evicted_connections += 1
        return True

    def _idle_deadline(self) -> float:
        settings = self.settings
        seconds = settings.linger_seconds if self.is_stopping else settings.idle_seconds
        return trio.current_time() + seconds

    async def _accept_tls(self, stream: trio.abc.Stream) -> trio.abc.Stream | None:
        """Return the stream to serve, or None if the handshake or the certificate is rejected."""
        context = self.tls.get_server_context() if self.tls is not None else None
        if context is None:
            return stream
        tls_stream = trio.SSLStream(stream, context, server_side=True, https_compatible=True)
        reason = "TLS handshake timed out"
        with trio.move_on_after(self.settings.read_seconds):
            try:
                await tls_stream.do_handshake()
                names = certificate_names(tls_stream.getpeercert())
                if names & self.allowed_names:
                    return tls_stream
                allowed = sorted(self.allowed_names)
                reason = f"certificate is for {sorted(names)}, allowed are {allowed}"
            except trio.BrokenResourceError as error:
                reason = f"TLS handshake failed: {error.__cause__!r}"
        self.refused_requests += 1
        self.emit(HTTP_REFUSED.emit(listener=self.name, reason=reason))
        return None

    async def _serve_requests(self, stream: trio.abc.Stream) -> None:
        connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.settings.header_bytes
        )
        connection_state: dict[str, Any] = {}
        while True:
            request = await self._read_request(connection, stream)
            if request is None:
                return
            if isinstance(request, _RequestRefusal):
                await self._send_refusal(connection, stream, request)
                return
            request = msgspec.structs.replace(request, connection_state=connection_state)
            if not await self._handle_request(connection, stream, request):
                return
            connection.start_next_cycle()

    async def _read_request(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> HttpServerRequest | _RequestRefusal | None:
        pipelined, _ = connection.trailing_data
        if not pipelined and not await self._wait_for_bytes(connection, stream):
            return None
        with trio.move_on_after(self.settings.read_seconds):
            return await self._read_events(connection, stream)
        return _RequestRefusal(408, "the request was not complete in time")

    async def _wait_for_bytes(self, connection: h11.Connection, stream: trio.abc.Stream) -> bool:
        with trio.move_on_at(self._idle_deadline()) as idle_scope:
            self.idle_scopes[idle_scope] = None
            try:
                data = await stream.receive_some(RECEIVE_BYTES)
            finally:
                self.idle_scopes.pop(idle_scope, None)
        if idle_scope.cancelled_caught or not data:
            return False
        connection.receive_data(bytes(data))
        return True

    async def _read_events(
        self, connection: h11.Connection, stream: trio.abc.Stream
    ) -> HttpServerRequest | _RequestRefusal | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = connection.next_event()
            except h11.RemoteProtocolError as error:
                return _RequestRefusal(error.error_status_hint, str(error))
            match event:
                case h11.Request():
                    head = event
                    if _count_header_bytes(event) > self.settings.header_bytes:
                        limit = self.settings.header_bytes
                        return _RequestRefusal(431, f"the headers have more than {limit} bytes")
                    if connection.they_are_waiting_for_100_continue:
                        proceed = h11.InformationalResponse(status_code=100, headers=[])
                        await stream.send_all(connection.send(proceed) or b"")
                case h11.Data():
                    body += event.data
                    if len(body) > self.settings.body_bytes:
                        limit = self.settings.body_bytes
                        return _RequestRefusal(413, f"the body has more than {limit} bytes")
                case h11.EndOfMessage():
                    assert head is not None
                    return _make_request(head, bytes(body))
                case h11.ConnectionClosed():
                    return None
                case _:
                    connection.receive_data(bytes(await stream.receive_some(RECEIVE_BYTES)))

    async def _handle_request(
        self, connection: h11.Connection, stream: trio.abc.Stream, request: HttpServerRequest
    ) -> bool:
        self.requests_in_progress += 1
        try:
            started = self._start_handler(request)
            if isinstance(started, HttpServerResponse):
                return await self._send_response(connection, stream, started)
            finished = self._finish_handler(request, started)
            response = await self._await_while_connected(finished, connection, stream)
            if response is None:
                return False
            return await self._send_response(connection, stream, response)
        finally:
            self.requests_in_progress -= 1

    def _start_handler(
        self, request: HttpServerRequest
    ) -> HttpServerResponse | Awaitable[HttpServerResponse]:
        """Call the handler; the response is 500 after an unexpected error.

        A broken invariant isn't caught: it stops the process.
        """
        try:
            return self.handler(request)
        except AssertionError:
            raise
        except Exception as error:
            return self._make_error_response(request, error)

    async def _finish_handler(
        self, request: HttpServerRequest, awaitable: Awaitable[HttpServerResponse]
    ) -> HttpServerResponse:
        """Wait for the response of the handler, with errors as in `_start_handler`."""
        try:
            return await awaitable
        except AssertionError:
            raise
        except Exception as error:
            return self._make_error_response(request, error)

    async def _await_while_connected(
        self,
        awaitable: Awaitable[HttpServerResponse],
        connection: h11.Connection,
        stream: trio.abc.Stream,
    ) -> HttpServerResponse | None:
        """Wait for a response; cancel and return None if the client disconnects before."""
        response: HttpServerResponse | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_closed, stream, connection, nursery.cancel_scope)
            response = await awaitable
            nursery.cancel_scope.cancel()
        return response

    def _make_error_response(
        self, request: HttpServerRequest, error: Exception
    ) -> HttpServerResponse:
        self._report_error(f"{request.method} {request.target:.60}", error)
        return HttpServerResponse(500, b"internal error\n")

    def _report_error(self, where: str, error: BaseException) -> None:
        self.failed_requests += 1
        event = UNEXPECTED_ERROR.emit(where=f"{self.name}: {where}", error=f"{error!r:.200}")
        self.emit(event)

    async def _send_response(
        self, connection: h11.Connection, stream: trio.abc.Stream, response: HttpServerResponse
    ) -> bool:
        headers = [*response.headers, ("content-length", str(len(response.body)))]
        if self.is_stopping:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [connection.send(head), connection.send(h11.Data(data=response.body))]
        parts.append(connection.send(h11.EndOfMessage()))
        with trio.move_on_after(self.settings.read_seconds) as scope:
            await stream.send_all(b"".join(part or b"" for part in parts))
        reusable = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        return reusable and not scope.cancelled_caught

    async def _send_refusal(
        self, connection: h11.Connection, stream: trio.abc.Stream, refusal: _RequestRefusal
    ) -> None:
        self.refused_requests += 1
        self.emit(HTTP_REFUSED.emit(listener=self.name, reason=refusal.reason))
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f"{refusal.reason}\n".encode()
        headers = [("content-length", str(len(body))), ("connection", "close")]
        head = h11.Response(status_code=refusal.status, headers=headers)
        parts = [connection.send(head), connection.send(h11.Data(data=body))]
        parts.append(connection.send(h11.EndOfMessage()))
        with trio.move_on_after(self.settings.read_seconds):
            await stream.send_all(b"".join(part or b"" for part in parts))


def _split_target(target: str) -> SplitResult:
    try:
        return urlsplit(target)
    except ValueError:
        return SplitResult("", "", "", "", "")


def _count_header_bytes(head: h11.Request) -> int:
    return len(head.target) + sum(len(name) + len(value) for name, value in head.headers)


def _make_request(head: h11.Request, body: bytes) -> HttpServerRequest:
    headers = tuple((key.decode("latin-1"), value.decode("latin-1")) for key, value in head.headers)
    return HttpServerRequest(head.method.decode(), head.target.decode("latin-1"), headers, body)


async def _cancel_when_closed(
    stream: trio.abc.Stream, connection: h11.Connection, scope: trio.CancelScope
) -> None:
    """Cancel the handler of a request if the client disconnects before the response."""
    try:
        data = await stream.receive_some(RECEIVE_BYTES)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        data = b""
    connection.receive_data(bytes(data))
    if not data:
        scope.cancel()
