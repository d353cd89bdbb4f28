"""Settings of TLS, of connections between instances and of HTTP listeners."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from chicorypost.base import Bound


@dataclass(frozen=True)
class TlsSettings:
    """Mutual TLS, which is disabled only by setting `off`.

    Parameters
    ----------
    off : bool, default False
        Run without TLS.
    certificate, key, authority : Path
        PEM files of the certificate chain of this process, its private key and the trusted
        certificate authority.
    """

    __pydantic_config__ = {"extra": "forbid"}

    off: bool = False
    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None

    def __post_init__(self) -> None:
        """Check that all three files are set, or none with TLS off."""
        files = (self.certificate, self.key, self.authority)
        if self.off and any(files):
            raise ValueError("tls has off set to true and also files; allowed is one or the other")
        if not self.off and not all(files):
            raise ValueError(
                "tls lacks one of certificate, key and authority; allowed are all three, or only "
                '{"off": true}'
            )


@dataclass(frozen=True)
class TransportSettings:
    """Connections between instances.

    Parameters
    ----------
    heartbeat_seconds : float, default 1.0
        Interval between heartbeats on each connection.
    silence_seconds : float, default 3.0
        A connection is closed and reopened after this time without a received message.
    dial_seconds : float, default 1.0
        Timeout of opening a connection.
    first_dial_seconds : float, default 1.0
        Timeout of the first attempt in a row, and by how much that of each further one is longer,
        up to `dial_seconds`. A peer that had no power when an attempt began never answers it.
    redial_seconds : float, default 0.25
        Delay before a failed connection is reopened.
    queue_messages : int, default 2048
        Capacity of the send queue of each peer; further messages are dropped and counted.
    connections : int, default 2000
        Maximum number of accepted connections that are open at a time.
    """

    __pydantic_config__ = {"extra": "forbid"}

    heartbeat_seconds: Annotated[float, Bound(gt=0, le=60)] = 1.0
    silence_seconds: Annotated[float, Bound(gt=0, le=300)] = 3.0
    dial_seconds: Annotated[float, Bound(gt=0, le=60)] = 1.0
    first_dial_seconds: Annotated[float, Bound(gt=0, le=60)] = 1.0
    redial_seconds: Annotated[float, Bound(gt=0, le=60)] = 0.25
    queue_messages: Annotated[int, Bound(ge=1)] = 2048
    connections: Annotated[int, Bound(ge=1)] = 2000

    def __post_init__(self) -> None:
        """Check that the loss of one heartbeat doesn't close a connection."""
        if self.silence_seconds < 2 * self.heartbeat_seconds:
            raise ValueError(
                f"silence_seconds is {self.silence_seconds}, allowed is at least twice "
                f"heartbeat_seconds ({self.heartbeat_seconds})"
            )


@dataclass(frozen=True)
class HttpSettings:
    """Limits of an HTTP listener.

    Parameters
    ----------
    body_bytes : int, default 1048576
        Maximum size of a request body.
    header_bytes : int, default 16384
        Maximum size of the request line and headers together.
    read_seconds : float, default 10
        Timeout of receiving a complete request, of the TLS handshake and of sending a response.
    idle_seconds : float, default 60
        An open connection is closed after this time without a request.
    linger_seconds : float, default 0.3
        During a stop, the time after which a connection without a request is closed: requests that
        are on their way then are still answered.
    connections : int, default 10000
        Maximum number of connections that are open at a time. At that number a new connection
        replaces the one that is idle for longest, and is refused if none is idle.
    """

    __pydantic_config__ = {"extra": "forbid"}

    body_bytes: Annotated[int, Bound(ge=0)] = 1024 * 1024
    header_bytes: Annotated[int, Bound(ge=256)] = 16 * 1024
    read_seconds: Annotated[float, Bound(gt=0)] = 10.0
    idle_seconds: Annotated[float, Bound(gt=0)] = 60.0
    linger_seconds: Annotated[float, Bound(ge=0)] = 0.3
    connections: Annotated[int, Bound(ge=1)] = 10_000
