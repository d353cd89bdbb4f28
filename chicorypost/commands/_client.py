"""Client of the operators' listeners: tries each control instance in turn."""

import json
import os
import ssl
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import cappa
import trio

from chicorypost.base import Endpoint
from chicorypost.commands._exit import ExitCode
from chicorypost.transport import (
    ExchangeRequest,
    ExchangeResponse,
    TlsContexts,
    TlsSettings,
    exchange_once,
)

SERVERS_VARIABLE = "CHICORYPOST_SERVERS"
KEYS_VARIABLE = "CHICORYPOST_KEYS"
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
ATTEMPT_TIMEOUT_SECONDS = 7.0
TOTAL_TIMEOUT_SECONDS = 20.0
ROUND_PAUSE_SECONDS = 0.2
SCHEMES = ("http", "https")
RETRIED_STATUSES = frozenset({503, 504})


@dataclass(slots=True)
class OperatorClient:
    """Sends one request to the control instances until one of them answers it.

    With ``https`` the environment variable ``CHICORYPOST_KEYS`` names a folder with the operator's
    ``operator.pem`` and ``operator.key`` and the trusted ``authority.pem``.

    Parameters
    ----------
    servers : str
        ``http://host:port`` or ``https://host:port`` of each control instance, separated by
        commas; the environment variable ``CHICORYPOST_SERVERS`` if empty.
    total_seconds : float, default 20
        Limit for all attempts together.
    """

    servers: str
    total_seconds: float = TOTAL_TIMEOUT_SECONDS
    failures: dict[str, str] = field(default_factory=dict)

    def parse_endpoints(self) -> list[Endpoint]:
        """Return where to connect.

        Raises
        ------
        cappa.Exit
            If no server is named or one is not an http URL with a port.
        """
        text = self.servers or os.environ.get(SERVERS_VARIABLE, "")
        if not text:
            message = f"no server is named; use --servers or set {SERVERS_VARIABLE}"
            raise cappa.Exit(message, code=ExitCode.USAGE)
        return [_parse_url(item.strip()) for item in text.split(",")]

    def _load_tls_context(self) -> ssl.SSLContext | None:
        if not (self.servers or os.environ.get(SERVERS_VARIABLE, "")).startswith("https"):
            return None
        folder = Path(os.environ.get(KEYS_VARIABLE, "."))
        settings = TlsSettings(
            certificate=folder / "operator.pem",
            key=folder / "operator.key",
            authority=folder / "authority.pem",
        )
        try:
            return TlsContexts(settings, lambda emit: None).get_client_context()
        except (OSError, ssl.SSLError) as error:
            message = (
                f"no usable operator.pem, operator.key and authority.pem in {folder} ({error}); "
                f"set {KEYS_VARIABLE} to the folder that has them"
            )
            raise cappa.Exit(message, code=ExitCode.USAGE) from error

    def run_request(self, request: ExchangeRequest) -> ExchangeResponse:
        """Return the first answer that isn't "ask another instance".

        Raises
        ------
        cappa.Exit
            If no control instance gave an answer in time.
        """
        answer: ExchangeResponse | None = trio.run(self.send_request, request)
        if answer is None:
            tried = "; ".join(f"{name}: {reason}" for name, reason in self.failures.items())
            message = (
                f"no control instance answered within {self.total_seconds:g} s ({tried}); check "
                "--servers, or whether a majority of the control instances runs"
            )
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
        return answer

    async def send_request(self, request: ExchangeRequest) -> ExchangeResponse | None:
        """Try the instances round after round; a patch is safe to send again by its id."""
        endpoints = self.parse_endpoints()
        with trio.move_on_after(self.total_seconds):
            while True:
                for endpoint in endpoints:
                    answer = await self._attempt(endpoint, request)
                    if answer is not None:
                        return answer
                await trio.sleep(ROUND_PAUSE_SECONDS)
        return None

    async def _attempt(
        self, endpoint: Endpoint, request: ExchangeRequest
    ) -> ExchangeResponse | None:
        name = f"{endpoint.host}:{endpoint.port}"
        result: Any = None
        with trio.move_on_after(ATTEMPT_TIMEOUT_SECONDS):
            result = await exchange_once(
                endpoint, request, MAX_RESPONSE_BYTES, self._load_tls_context()
            )
        if not isinstance(result, ExchangeResponse):
            self.failures[name] = "no answer" if result is None else result.fault.value
            return None
        if result.status in RETRIED_STATUSES:
            self.failures[name] = format_problem(result)
            return None
        return result


def read_json(answer: ExchangeResponse) -> Any:
    """Return the JSON body of an answer, or stop with what the instance refused."""
    if answer.status >= 400:
        raise cappa.Exit(format_problem(answer), code=ExitCode.REFUSED)
    return json.loads(answer.body)


def format_problem(answer: ExchangeResponse) -> str:
    """Return the problem details of an answer as text."""
    try:
        body = json.loads(answer.body)
        lines = [body["title"]]
    except (ValueError, KeyError, TypeError):
        return f"HTTP status {answer.status}"
    if body.get("leader"):
        lines.append(f"The leader is {body['leader']}.")
    for mistake in body.get("mistakes", ()):
        path = mistake["path"] or "(whole patch)"
        lines.append(f"{path}: got {mistake['got']}, allowed is {mistake['allowed']}")
    return "\n".join(lines)


def _parse_url(text: str) -> Endpoint:
    try:
        parts = urlsplit(text)
        host, port = parts.hostname, parts.port
    except ValueError:
        host, port = None, None
    if not host or port is None or urlsplit(text).scheme not in SCHEMES:
        message = f"server is {text!r}, allowed is http://host:port or https://host:port"
        raise cappa.Exit(message, code=ExitCode.USAGE)
    return Endpoint(host, port)
