"""Streams between processes, HTTP and TLS."""

from typing import TYPE_CHECKING

from chicorypost.base._lazy import import_lazily

if TYPE_CHECKING:
    from chicorypost.transport._datagrams import open_packet_socket
    from chicorypost.transport._frame_buffer import FrameBuffer, encode_frame
    from chicorypost.transport._frames import END_OF_STREAM, EndOfStream, FrameReader
    from chicorypost.transport._http import (
        Handler,
        HttpServer,
        HttpServerRequest,
        HttpServerResponse,
    )
    from chicorypost.transport._http_client import (
        ExchangeFailed,
        ExchangeFault,
        ExchangeRequest,
        ExchangeResponse,
        HttpConnection,
        exchange_once,
        open_http,
    )
    from chicorypost.transport._keys import write_test_certificates
    from chicorypost.transport._messages import (
        NOT_LISTENING_PORT,
        ConnectionHello,
        Heartbeat,
        HeartbeatReply,
    )
    from chicorypost.transport._peers import PeerLink, PeerNetwork
    from chicorypost.transport._settings import HttpSettings, TlsSettings, TransportSettings
    from chicorypost.transport._tls import TlsContexts

__all__ = [
    "END_OF_STREAM",
    "NOT_LISTENING_PORT",
    "ConnectionHello",
    "EndOfStream",
    "ExchangeFailed",
    "ExchangeFault",
    "ExchangeRequest",
    "ExchangeResponse",
    "FrameBuffer",
    "FrameReader",
    "Handler",
    "Heartbeat",
    "HeartbeatReply",
    "HttpConnection",
    "HttpServer",
    "HttpServerRequest",
    "HttpServerResponse",
    "HttpSettings",
    "PeerLink",
    "PeerNetwork",
    "TlsContexts",
    "TlsSettings",
    "TransportSettings",
    "encode_frame",
    "exchange_once",
    "open_http",
    "open_packet_socket",
    "write_test_certificates",
]

__getattr__ = import_lazily(
    __name__,
    {
        "END_OF_STREAM": "_frames",
        "EndOfStream": "_frames",
        "ExchangeResponse": "_http_client",
        "ExchangeFailed": "_http_client",
        "ExchangeFault": "_http_client",
        "ExchangeRequest": "_http_client",
        "FrameBuffer": "_frame_buffer",
        "FrameReader": "_frames",
        "Handler": "_http",
        "Heartbeat": "_messages",
        "HeartbeatReply": "_messages",
        "ConnectionHello": "_messages",
        "HttpConnection": "_http_client",
        "HttpServer": "_http",
        "HttpServerRequest": "_http",
        "HttpServerResponse": "_http",
        "HttpSettings": "_settings",
        "NOT_LISTENING_PORT": "_messages",
        "PeerLink": "_peers",
        "PeerNetwork": "_peers",
        "TlsContexts": "_tls",
        "TlsSettings": "_settings",
        "TransportSettings": "_settings",
        "encode_frame": "_frame_buffer",
        "exchange_once": "_http_client",
        "open_http": "_http_client",
        "open_packet_socket": "_datagrams",
        "write_test_certificates": "_keys",
    },
)
