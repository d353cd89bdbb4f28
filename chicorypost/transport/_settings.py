"""Settings of connections between processes and of HTTP listeners."""

from pathlib import Path

from pydantic import Field, model_validator

from chicorypost.base import Settings


class TlsSettings(Settings):
    """Mutual TLS; `off` must be said explicitly.

    Parameters
    ----------
    off : bool, default False
        Run without TLS.
    certificate, key, authority : Path
        PEM files of this process's certificate chain, its private key and the trusted authority.
    """

    off: bool = False
    certificate: Path | None = None
    key: Path | None = None
    authority: Path | None = None

    @model_validator(mode="after")
    def check_files(self) -> "TlsSettings":
        """Require all three files unless TLS is off."""
        files = (self.certificate, self.key, self.authority)
        if self.off and any(files):
            raise ValueError("tls is off but files are named: allowed is one or the other")
        if not self.off and not all(files):
            raise ValueError(
                "tls needs certificate, key and authority; allowed without them is only "
                '{"off": true}'
            )
        return self


class TransportSettings(Settings):
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

    heartbeat_seconds: float = Field(default=1.0, gt=0, le=60)
    silence_seconds: float = Field(default=3.0, gt=0, le=300)
    dial_seconds: float = Field(default=1.0, gt=0, le=60)
    redial_seconds: float = Field(default=0.25, gt=0, le=60)
    queue_messages: int = Field(default=2048, ge=1)
    connections: int = Field(default=2000, ge=1)

    @model_validator(mode="after")
    def check_silence(self) -> "TransportSettings":
        """Require room for a lost heartbeat before a connection counts as silent."""
        if self.silence_seconds < 2 * self.heartbeat_seconds:
            raise ValueError(
                f"silence_seconds is {self.silence_seconds}, allowed is at least twice "
                f"heartbeat_seconds ({self.heartbeat_seconds})"
            )
        return self


class HttpSettings(Settings):
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

    body_bytes: int = Field(default=1024 * 1024, ge=0)
    header_bytes: int = Field(default=16 * 1024, ge=256)
    read_seconds: float = Field(default=10.0, gt=0)
    idle_seconds: float = Field(default=60.0, gt=0)
    connections: int = Field(default=10_000, ge=1)
