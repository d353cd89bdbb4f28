"""HTTP/1.1 servers on `h11`: whole requests in, whole responses out."""

from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio

from chicorypost.events import Emit
from chicorypost.transport._events import CONNECTIONS_FULL, HTTP_REFUSED
from chicorypost.transport._settings import HttpSettings
from chicorypost.transport._tls import TlsContexts, certificate_names

RECEIVE_BYTES = 64 * 1024


class HttpServerRequest(msgspec.Struct, frozen=True):
    """A whole request as it arrived."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    peer: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key.lower() == wanted), None)

    @property
    def path(self) -> str:
        """The target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The last value of each query parameter."""
        parsed = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[-1] for name, values in parsed.items()}


class HttpServerResponse(msgspec.Struct, frozen=True):
    """A whole response to send."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[HttpServerRequest], Awaitable[HttpServerResponse]]


class _RequestRefusal(msgspec.Struct, frozen=True):
    """Why a request could not be read."""

    status: int
    reason: str


class HttpServer(msgspec.Struct):
    """Serves one listener.

    Parameters
    ----------
    name : str
        Name of the listener in logs.
    settings : HttpSettings
        Bounds.
    handler : callable
        Takes a request and returns the response; it is cancelled when the caller disconnects.
    emit : callable
        Takes log events.
    tls : TlsContexts, optional
        Serve TLS and ask for a client certificate, unless TLS is off.
    allowed_names : frozenset of str
        With TLS: names of which the client certificate must carry one.
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
    is_stopping: bool = False
    idle_scopes: set[trio.CancelScope] = msgspec.field(default_factory=set)

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends; the handler of `trio.serve_listeners`."""
        if self.open_connections >= self.settings.connections:
            self.emit(CONNECTIONS_FULL.emit(listener=self.name))
            await trio.aclose_forcefully(stream)
            return
        self.open_connections += 1
        try:
            secured = await self._accept_tls(stream)
            if secured is not None:
                await self._serve_requests(secured)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1
            await trio.aclose_forcefully(stream)

    def stop(self) -> None:
        """Close connections without a request and every other one after its response."""
        self.is_stopping = True
        for scope in self.idle_scopes:
            scope.cancel()

    async def _accept_tls(self, stream: trio.abc.Stream) -> trio.abc.Stream | None:
        """Return the stream to use, or None if the client's certificate is refused."""
        context = self.tls.get_server_context() if self.tls is not None else None
        if context is None:
            return stream
        secured = trio.SSLStream(stream, context, server_side=True, https_compatible=True)
        reason = "TLS handshake not complete in time"
        with trio.move_on_after(self.settings.read_seconds):
            try:
                await secured.do_handshake()
                names = certificate_names(secured.getpeercert())
                if names & self.allowed_names:
                    return secured
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
        while not self.is_stopping:
            request = await self._read_request(connection, stream)
            if request is None:
                return
            if isinstance(request, _RequestRefusal):
                await self._send_refusal(connection, stream, request)
                return
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
        with trio.move_on_after(self.settings.idle_seconds) as idle:
            self.idle_scopes.add(idle)
            try:
                first = await stream.receive_some(RECEIVE_BYTES)
            finally:
                self.idle_scopes.discard(idle)
        if idle.cancelled_caught or not first:
            return False
        connection.receive_data(bytes(first))
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
        response: HttpServerResponse | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_closed, stream, connection, nursery.cancel_scope)
                response = await self.handler(request)
                nursery.cancel_scope.cancel()
            if response is None:
                return False
            return await self._send_response(connection, stream, response)
        finally:
            self.requests_in_progress -= 1

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


def _count_header_bytes(head: h11.Request) -> int:
    return len(head.target) + sum(len(name) + len(value) for name, value in head.headers)


def _make_request(head: h11.Request, body: bytes) -> HttpServerRequest:
    headers = tuple((key.decode("latin-1"), value.decode("latin-1")) for key, value in head.headers)
    return HttpServerRequest(head.method.decode(), head.target.decode("latin-1"), headers, body)


async def _cancel_when_closed(
    stream: trio.abc.Stream, connection: h11.Connection, scope: trio.CancelScope
) -> None:
    """Cancel the handler when the caller disconnects while it waits for the response."""
    try:
        data = await stream.receive_some(RECEIVE_BYTES)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        data = b""
    connection.receive_data(bytes(data))
    if not data:
        scope.cancel()
