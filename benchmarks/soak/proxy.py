"""A TCP proxy on loopback that delays, resets, silences or cuts one way."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from chicorypost.base import Endpoint

CHUNK_BYTES = 64 * 1024


class ProxyMode(Enum):
    """What the proxy does with connections."""

    PASS = "pass"
    SILENT = "silent"
    RESET = "reset"
    DELAY = "delay"
    ONE_WAY = "one-way"


@dataclass(slots=True)
class Proxy:
    """Relays connections from one endpoint to another.

    A connection that was open while the proxy was silent stays silent for good; new ones work
    again afterwards.
    """

    listen_endpoint: Endpoint
    target_endpoint: Endpoint
    mode: ProxyMode = ProxyMode.PASS
    delay_seconds: float = 0.2
    connection_scopes: set[trio.CancelScope] = field(default_factory=set)
    silence_epoch: int = 0

    def set_mode(self, mode: ProxyMode) -> None:
        """Change what happens from now on."""
        if mode in (ProxyMode.SILENT, ProxyMode.ONE_WAY):
            self.silence_epoch += 1
        self.mode = mode
        if mode is ProxyMode.RESET:
            for scope in self.connection_scopes:
                scope.cancel()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay until cancelled."""
        listeners = await trio.open_tcp_listeners(
            self.listen_endpoint.port, host=self.listen_endpoint.host
        )
        task_status.started()
        await trio.serve_listeners(self._handle_connection, listeners)

    async def _handle_connection(self, near: trio.SocketStream) -> None:
        if self.mode is ProxyMode.RESET:
            return
        with trio.CancelScope() as scope:
            self.connection_scopes.add(scope)
            try:
                await self._relay_connection(near)
            finally:
                self.connection_scopes.discard(scope)

    async def _relay_connection(self, near: trio.SocketStream) -> None:
        try:
            far = await trio.open_tcp_stream(self.target_endpoint.host, self.target_endpoint.port)
        except OSError:
            # Nobody listens behind the proxy: the caller sees its connection end.
            return
        epoch = self.silence_epoch if self.mode is ProxyMode.PASS else self.silence_epoch - 1
        async with far:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy_data, near, far, True, epoch, nursery)
                    nursery.start_soon(self._copy_data, far, near, False, epoch, nursery)
            except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                # Either end has gone; both connections are closed.
                pass

    async def _copy_data(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        inward: bool,
        epoch: int,
        nursery: trio.Nursery,
    ) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            is_cut = epoch != self.silence_epoch
            if is_cut and not (self.mode is ProxyMode.ONE_WAY and inward):
                await trio.sleep_forever()
            if self.mode is ProxyMode.DELAY:
                await trio.sleep(self.delay_seconds)
            await sink.send_all(data)
        nursery.cancel_scope.cancel()
