"""Client of the operator listeners, which tries the control instances in turn."""

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
    ExchangeFault,
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
REDIRECT_STATUS = 307
"""An instance on the users' platform that isn't the leader refers to the leader."""
RETRIED_STATUSES = frozenset({503, 504})


@dataclass(slots=True)
class OperatorClient:
    """Sends a request to the control instances in turn until one returns a final response.

    With ``https`` the environment variable ``CHICORYPOST_KEYS`` names a folder with the operator's
    ``operator.pem`` and ``operator.key`` and the trusted ``authority.pem``.

    Parameters
    ----------
    servers : str
        ``http://host:port`` or ``https://host:port`` of each control instance, separated by
        commas; the environment variable ``CHICORYPOST_SERVERS`` if empty.
    total_seconds : float, default 20
        Timeout of all attempts together.
    """

    servers: str
    total_seconds: float = TOTAL_TIMEOUT_SECONDS
    failures: dict[str, str] = field(default_factory=dict)
    has_unknown_attempt: bool = False
    """Whether an attempt may have taken effect although its response was lost."""

    def parse_endpoints(self) -> list[Endpoint]:
        """Return the addresses of the control instances.

        Raises
        ------
        cappa.Exit
            If no server is given or one is not an http or https URL with a port.
        """
        text = self.servers or os.environ.get(SERVERS_VARIABLE, "")
        if not text:
            message = f"no server is given; use --servers or set {SERVERS_VARIABLE}"
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
                f"operator.pem, operator.key or authority.pem in {folder} can't be loaded "
                f"({error}); set {KEYS_VARIABLE} to the folder that contains them"
            )
            raise cappa.Exit(message, code=ExitCode.USAGE) from error

    def run_request(self, request: ExchangeRequest) -> ExchangeResponse:
        """Return the first response that doesn't refer to another control instance.

        Raises
        ------
        cappa.Exit
            If no control instance returned such a response in time.
        """
        response: ExchangeResponse | None = trio.run(self.send_request, request)
        if response is None:
            causes = "; ".join(f"{name}: {reason}" for name, reason in self.failures.items())
            message = (
                f"no control instance responded within {self.total_seconds:g} s ({causes}); check "
                "--servers and whether a majority of the control instances is running"
            )
            raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
        return response

    async def send_request(self, request: ExchangeRequest) -> ExchangeResponse | None:
        """Try the instances in rounds; resending a patch is safe because of its patch id."""
        endpoints = self.parse_endpoints()
        with trio.move_on_after(self.total_seconds):
            while True:
                for endpoint in endpoints:
                    response = await self._attempt(endpoint, request)
                    if response is not None:
                        return response
                await trio.sleep(ROUND_PAUSE_SECONDS)
        return None

    async def _attempt(
        self, endpoint: Endpoint, request: ExchangeRequest, follows_redirect: bool = True
    ) -> ExchangeResponse | None:
        name = f"{endpoint.host}:{endpoint.port}"
        result: Any = None
        with trio.move_on_after(ATTEMPT_TIMEOUT_SECONDS):
            result = await exchange_once(
                endpoint, request, MAX_RESPONSE_BYTES, self._load_tls_context()
            )
        if not isinstance(result, ExchangeResponse):
            is_sent = result is None or result.fault is not ExchangeFault.UNREACHABLE
            self.has_unknown_attempt = self.has_unknown_attempt or is_sent
            self.failures[name] = "no response" if result is None else result.fault.value
            return None
        if result.status in RETRIED_STATUSES:
            self.has_unknown_attempt = self.has_unknown_attempt or result.status == 504
            self.failures[name] = format_problem(result)
            return None
        if result.status == REDIRECT_STATUS:
            leader = _read_redirect(result)
            self.failures[name] = f"refers to {leader.host if leader else 'no valid URL'}"
            if leader is None or not follows_redirect:
                return None
            return await self._attempt(leader, request, follows_redirect=False)
        return result


def read_json(response: ExchangeResponse) -> Any:
    """Return the JSON body of a response; raise cappa.Exit with its problem if it is an error."""
    if response.status >= 400:
        raise cappa.Exit(format_problem(response), code=ExitCode.REFUSED)
    return json.loads(response.body)


def format_problem(response: ExchangeResponse) -> str:
    """Return the problem details of a response as text."""
    try:
        body = json.loads(response.body)
        # Instances on the users' platform return the problem in one field.
        lines = [body["title"] if "title" in body else body["error"]]
    except (ValueError, KeyError, TypeError):
        return f"HTTP status {response.status}"
    if body.get("leader"):
        lines.append(f"The leader is {body['leader']}.")
    for invalid_input in body.get("mistakes", ()):
        path = invalid_input["path"] or "(whole patch)"
        lines.append(f"{path}: got {invalid_input['got']}, allowed is {invalid_input['allowed']}")
    return "\n".join(lines)


def _read_redirect(response: ExchangeResponse) -> Endpoint | None:
    """Return the instance to which a response refers, or None if it isn't a valid URL."""
    try:
        return _parse_url(response.header("location") or "")
    except cappa.Exit:
        return None


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
