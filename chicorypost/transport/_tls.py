"""TLS contexts made from files that may change while the process runs."""

import ssl
from collections.abc import Callable

from chicorypost.events import Emit
from chicorypost.transport._events import CERTIFICATE_RELOADED, CERTIFICATE_UNUSABLE
from chicorypost.transport._settings import TlsSettings


class TlsContexts:
    """Server and client contexts; changed files take effect for the next connection.

    Parameters
    ----------
    settings : TlsSettings
        Files, or `off`.
    emit : callable
        Takes the log events.

    Raises
    ------
    OSError, ssl.SSLError
        If the files cannot be loaded at start.
    """

    def __init__(self, settings: TlsSettings, emit: Callable[[Emit], None]) -> None:
        self.settings = settings
        self.emit = emit
        self.modification_times: tuple[int, ...] = ()
        self.server_context: ssl.SSLContext | None = None
        self.client_context: ssl.SSLContext | None = None
        if not settings.off:
            self._load()

    def get_server_context(self) -> ssl.SSLContext | None:
        """Return the context for accepted connections, or None when TLS is off."""
        self._reload_if_changed()
        return self.server_context

    def get_client_context(self) -> ssl.SSLContext | None:
        """Return the context for dialled connections, or None when TLS is off."""
        self._reload_if_changed()
        return self.client_context

    def _reload_if_changed(self) -> None:
        if self.settings.off:
            return
        name = str(self.settings.certificate)
        try:
            if self._read_modification_times() == self.modification_times:
                return
            self._load()
        except (OSError, ssl.SSLError) as error:
            self.emit(CERTIFICATE_UNUSABLE.emit(certificate=name, reason=str(error)))
            return
        self.emit(CERTIFICATE_RELOADED.emit(certificate=name))

    def _read_modification_times(self) -> tuple[int, ...]:
        files = (self.settings.certificate, self.settings.key, self.settings.authority)
        return tuple(file.stat().st_mtime_ns for file in files if file is not None)

    def _load(self) -> None:
        # The stamp is remembered first: unusable files are reported once, not at each connection.
        self.modification_times = self._read_modification_times()
        server_context = self._make_context(ssl.PROTOCOL_TLS_SERVER)
        client_context = self._make_context(ssl.PROTOCOL_TLS_CLIENT)
        self.server_context = server_context
        self.client_context = client_context

    def _make_context(self, protocol: int) -> ssl.SSLContext:
        assert self.settings.certificate is not None
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(self.settings.certificate, self.settings.key)
        context.load_verify_locations(self.settings.authority)
        context.verify_mode = ssl.CERT_REQUIRED
        return context


def certificate_names(certificate: dict[str, object] | None) -> set[str]:
    """Return the DNS names in a peer certificate as `ssl` presents it."""
    names = certificate.get("subjectAltName", ()) if certificate else ()
    assert isinstance(names, tuple)
    return {value for kind, value in names if kind == "DNS"}
