"""A TCP proxy on loopback that can delay, reset, silence or block one direction."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from chicorypost.base import Endpoint

CHUNK_BYTES = 64 * 1024


class ProxyMode(Enum):
    """How the proxy handles connections."""

    PASS = "pass"
    SILENT = "silent"
    RESET = "reset"
    DELAY = "delay"
    ONE_WAY = "one-way"


@dataclass(slots=True)
class Proxy:
    """Relays connections from one endpoint to another.

    A connection that was open at any time in mode SILENT or ONE_WAY relays no more data afterwards;
    new connections work again. `silence_epoch` counts the changes to these modes.
    """

    listen_endpoint: Endpoint
    target_endpoint: Endpoint
    mode: ProxyMode = ProxyMode.PASS
    delay_seconds: float = 0.2
    connection_scopes: set[trio.CancelScope] = field(default_factory=set)
    silence_epoch: int = 0

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode; RESET closes the open connections."""
        if mode in (ProxyMode.SILENT, ProxyMode.ONE_WAY):
            self.silence_epoch += 1
        self.mode = mode
        if mode is ProxyMode.RESET:
            for scope in self.connection_scopes:
                scope.cancel()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept and relay connections until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self.listen_endpoint.port, host=self.listen_endpoint.host
        )
        task_status.started()
        await trio.serve_listeners(self._handle_connection, listeners)

    async def _handle_connection(self, client_stream: trio.SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            return
        with trio.CancelScope() as scope:
            self.connection_scopes.add(scope)
            try:
                await self._relay_connection(client_stream)
            finally:
                self.connection_scopes.discard(scope)

    async def _relay_connection(self, client_stream: trio.SocketStream) -> None:
        try:
            target_stream = await trio.open_tcp_stream(
                self.target_endpoint.host, self.target_endpoint.port
            )
        except OSError:
            # The target isn't listening: the client's connection is closed.
            return
        epoch = self.silence_epoch if self.mode is ProxyMode.PASS else self.silence_epoch - 1
        async with target_stream:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._copy_data, client_stream, target_stream, True, epoch, nursery
                    )
                    nursery.start_soon(
                        self._copy_data, target_stream, client_stream, False, epoch, nursery
                    )
            except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                # One side has closed its connection; both are closed.
                pass

    async def _copy_data(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_inbound: bool,
        epoch: int,
        nursery: trio.Nursery,
    ) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            is_cut = epoch != self.silence_epoch
            if is_cut and not (self.mode is ProxyMode.ONE_WAY and is_inbound):
                await trio.sleep_forever()
            if self.mode is ProxyMode.DELAY:
                await trio.sleep(self.delay_seconds)
            await sink.send_all(data)
        nursery.cancel_scope.cancel()
