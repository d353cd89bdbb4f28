"""Settings of connections between processes and of HTTP listeners."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from chicorypost.base import Bound


@dataclass(frozen=True)
class TlsSettings:
    """Mutual TLS; `off` must be said explicitly.

    Parameters
    ----------
    off : bool, default False
        Run without TLS.
    certificate, key, authority : Path
        PEM files of this process's certificate chain, its private key and the trusted authority.
    """

    __pydantic_config__ = {"extra": "forbid"}

    off: bool = False
    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None

    def __post_init__(self) -> None:
        """Require all three files unless TLS is off."""
        files = (self.certificate, self.key, self.authority)
        if self.off and any(files):
            raise ValueError("tls is off but files are named: allowed is one or the other")
        if not self.off and not all(files):
            raise ValueError(
                "tls needs certificate, key and authority; allowed without them is only "
                '{"off": true}'
            )


@dataclass(frozen=True)
class TransportSettings:
    """Connections between our processes.

    Parameters
    ----------
    heartbeat_seconds : float, default 1.0
        Interval of heartbeats on each connection.
    silence_seconds : float, default 3.0
        A connection on which nothing arrives for this long is closed and replaced.
    dial_seconds : float, default 1.0
        Limit for opening a connection.
    redial_seconds : float, default 0.25
        Pause before a failed connection is opened again.
    queue_messages : int, default 2048
        Messages waiting for one peer; further ones are dropped and counted.
    connections : int, default 2000
        Connections accepted by one listener at a time.
    """

    __pydantic_config__ = {"extra": "forbid"}

    heartbeat_seconds: Annotated[float, Bound(gt=0, le=60)] = 1.0
    silence_seconds: Annotated[float, Bound(gt=0, le=300)] = 3.0
    dial_seconds: Annotated[float, Bound(gt=0, le=60)] = 1.0
    redial_seconds: Annotated[float, Bound(gt=0, le=60)] = 0.25
    queue_messages: Annotated[int, Bound(ge=1)] = 2048
    connections: Annotated[int, Bound(ge=1)] = 2000

    def __post_init__(self) -> None:
        """Require room for a lost heartbeat before a connection counts as silent."""
        if self.silence_seconds < 2 * self.heartbeat_seconds:
            raise ValueError(
                f"silence_seconds is {self.silence_seconds}, allowed is at least twice "
                f"heartbeat_seconds ({self.heartbeat_seconds})"
            )


@dataclass(frozen=True)
class HttpSettings:
    """One HTTP listener.

    Parameters
    ----------
    body_bytes : int, default 1048576
        Largest body that is accepted.
    header_bytes : int, default 16384
        Largest request line and headers together.
    read_seconds : float, default 10
        A caller that does not send its whole request within this time is disconnected.
    idle_seconds : float, default 60
        A connection without a request for this long is closed.
    connections : int, default 10000
        Connections accepted at a time.
    """

    __pydantic_config__ = {"extra": "forbid"}

    body_bytes: Annotated[int, Bound(ge=0)] = 1024 * 1024
    header_bytes: Annotated[int, Bound(ge=256)] = 16 * 1024
    read_seconds: Annotated[float, Bound(gt=0)] = 10.0
    idle_seconds: Annotated[float, Bound(gt=0)] = 60.0
    connections: Annotated[int, Bound(ge=1)] = 10_000
