"""HTTP/1.1 client based on `h11`: one exchange at a time on a reusable connection."""

import select
import ssl
from enum import Enum

import h11
import msgspec
import trio

from chicorypost.base import Endpoint

RECEIVE_BYTES = 64 * 1024


class ExchangeFault(Enum):
    """Why an exchange failed to produce a complete response."""

    UNREACHABLE = "unreachable"
    """The connection could not be opened; nothing was sent."""
    BROKEN = "broken"
    """The connection was lost after sending began and before the response was complete."""
    MALFORMED = "malformed"
    """The received bytes are not a valid HTTP response of allowed size."""


class ExchangeFailed(msgspec.Struct, frozen=True):
    """Result of an exchange without a complete response."""

    fault: ExchangeFault
    detail: str


class ExchangeResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


class ExchangeRequest(msgspec.Struct, frozen=True):
    """An HTTP request to send."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class HttpConnection:
    """One open connection to an HTTP server.

    Parameters
    ----------
    stream : trio.abc.Stream
        Connected stream, after the TLS handshake if TLS is used.
    body_bytes : int
        Maximum size of a response body.
    """

    def __init__(self, stream: trio.abc.Stream, body_bytes: int) -> None:
        self.stream = stream
        self.body_bytes = body_bytes
        self.connection = h11.Connection(h11.CLIENT)
        self.is_reusable = True
        self.names_attempts = False
        """Whether a response on this connection has named the attempt that it belongs to."""

    async def exchange(self, request: ExchangeRequest) -> ExchangeResponse | ExchangeFailed:
        """Send a request and wait for its complete response.

        Returns
        -------
        ExchangeResponse or ExchangeFailed
            The response, or why there is none. Another exchange may follow only while
            `is_reusable` is true.
        """
        self.is_reusable = False
        try:
            await self._send_request(request)
            response = await self._receive_response()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return ExchangeFailed(ExchangeFault.BROKEN, repr(error))
        except h11.ProtocolError as error:
            return ExchangeFailed(ExchangeFault.MALFORMED, str(error))
        # Bytes behind the response would be read as the response to the next request.
        has_surplus = bool(self.connection.trailing_data[0])
        is_complete = isinstance(response, ExchangeResponse)
        if is_complete and self.connection.their_state is h11.DONE and not has_surplus:
            self.connection.start_next_cycle()
            self.is_reusable = True
        return response

    def is_open(self) -> bool:
        """Return whether an idle connection is usable: no data and no end of file arrived."""
        stream = self.stream
        if isinstance(stream, trio.SocketStream):
            poll = select.poll()
            poll.register(stream.socket.fileno(), select.POLLIN)
            return not poll.poll(0)
        return True

    async def aclose(self) -> None:
        """Close the connection."""
        self.is_reusable = False
        await trio.aclose_forcefully(self.stream)

    async def _send_request(self, request: ExchangeRequest) -> None:
        headers = list(request.headers)
        if not any(name.lower() == "host" for name, _ in headers):
            headers.insert(0, ("host", "localhost"))
        headers.append(("content-length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self.connection.send(head)]
        if request.body:
            parts.append(self.connection.send(h11.Data(data=request.body)))
        parts.append(self.connection.send(h11.EndOfMessage()))
        await self.stream.send_all(b"".join(part or b"" for part in parts))

    async def _receive_response(self) -> ExchangeResponse | ExchangeFailed:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self.connection.next_event()
            match event:
                case h11.Response():
                    head = event
                case h11.Data():
                    body += event.data
                    if len(body) > self.body_bytes:
                        detail = f"response body has more than {self.body_bytes} bytes"
                        return ExchangeFailed(ExchangeFault.MALFORMED, detail)
                case h11.EndOfMessage():
                    assert head is not None
                    return _make_response(head, bytes(body))
                case h11.ConnectionClosed():
                    return ExchangeFailed(
                        ExchangeFault.BROKEN, "connection closed before the response was complete"
                    )
                case h11.InformationalResponse():
                    pass
                case _:
                    data = await self.stream.receive_some(RECEIVE_BYTES)
                    self.connection.receive_data(bytes(data))


def _make_response(head: h11.Response, body: bytes) -> ExchangeResponse:
    headers = tuple((key.decode("latin-1"), value.decode("latin-1")) for key, value in head.headers)
    return ExchangeResponse(head.status_code, headers, body)


async def open_http(
    endpoint: Endpoint,
    body_bytes: int,
    context: ssl.SSLContext | None = None,
    server_name: str = "",
) -> HttpConnection | ExchangeFailed:
    """Open a connection to an HTTP server.

    Parameters
    ----------
    endpoint : Endpoint
        Address of the server.
    body_bytes : int
        Maximum size of a response body.
    context : ssl.SSLContext, optional
        TLS context; without one the connection is not encrypted.
    server_name : str, optional
        Name that the server certificate must contain; the host of the endpoint if empty.

    Returns
    -------
    HttpConnection or ExchangeFailed
        The connection, or why there is none.
    """
    try:
        stream: trio.abc.Stream = await trio.open_tcp_stream(endpoint.host, endpoint.port)
        if context is not None:
            name = server_name or endpoint.host
            tls = trio.SSLStream(stream, context, server_hostname=name, https_compatible=True)
            await tls.do_handshake()
            stream = tls
    except (OSError, trio.BrokenResourceError) as error:
        return ExchangeFailed(ExchangeFault.UNREACHABLE, repr(error))
    return HttpConnection(stream, body_bytes)


async def exchange_once(
    endpoint: Endpoint,
    request: ExchangeRequest,
    body_bytes: int,
    context: ssl.SSLContext | None = None,
    server_name: str = "",
) -> ExchangeResponse | ExchangeFailed:
    """Make one exchange on a connection of its own; see `open_http` for the parameters."""
    connection = await open_http(endpoint, body_bytes, context, server_name)
    if isinstance(connection, ExchangeFailed):
        return connection
    try:
        return await connection.exchange(request)
    finally:
        await connection.aclose()
