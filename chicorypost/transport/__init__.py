"""Streams between processes, HTTP and TLS."""

from chicorypost.transport._frames import END_OF_STREAM, EndOfStream, FrameReader, encode_frame
from chicorypost.transport._http import (
    Handler,
    HttpServer,
    HttpServerRequest,
    HttpServerResponse,
)
from chicorypost.transport._http_client import (
    ExchangeAnswer,
    ExchangeFailed,
    ExchangeFault,
    ExchangeRequest,
    HttpConnection,
    exchange_once,
    open_http,
)
from chicorypost.transport._keys import write_keys
from chicorypost.transport._messages import Heartbeat, HeartbeatReply, Hello
from chicorypost.transport._peers import PeerLink, PeerNetwork
from chicorypost.transport._settings import HttpSettings, TlsSettings, TransportSettings
from chicorypost.transport._tls import TlsContexts

__all__ = [
    "END_OF_STREAM",
    "EndOfStream",
    "ExchangeAnswer",
    "ExchangeFailed",
    "ExchangeFault",
    "ExchangeRequest",
    "FrameReader",
    "Handler",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
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
    "write_keys",
]
