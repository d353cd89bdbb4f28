"""Streams between processes, HTTP and TLS."""

from typing import TYPE_CHECKING, Any

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
from chicorypost.transport._messages import Heartbeat, HeartbeatReply, Hello
from chicorypost.transport._peers import PeerLink, PeerNetwork
from chicorypost.transport._settings import HttpSettings, TlsSettings, TransportSettings
from chicorypost.transport._tls import TlsContexts

if TYPE_CHECKING:
    from chicorypost.transport._keys import write_keys

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


def __getattr__(name: str) -> Any:
    # Only the command that makes keys needs the libraries that make them.
    if name == "write_keys":
        from chicorypost.transport._keys import write_keys

        return write_keys
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
