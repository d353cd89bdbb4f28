"""A TCP proxy on loopback that delays, resets, silences or cuts one way."""

from dataclasses import dataclass, field
from enum import Enum

import trio

from chicorypost.base import Endpoint

CHUNK_BYTES = 64 * 1024


class Mode(Enum):
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

    public: Endpoint
    real: Endpoint
    mode: Mode = Mode.PASS
    delay_seconds: float = 0.2
    scopes: set[trio.CancelScope] = field(default_factory=set)
    epoch: int = 0

    def set_mode(self, mode: Mode) -> None:
        """Change what happens from now on."""
        if mode in (Mode.SILENT, Mode.ONE_WAY):
            self.epoch += 1
        self.mode = mode
        if mode is Mode.RESET:
            for scope in self.scopes:
                scope.cancel()

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay until cancelled."""
        listeners = await trio.open_tcp_listeners(self.public.port, host=self.public.host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, near: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            return
        with trio.CancelScope() as scope:
            self.scopes.add(scope)
            try:
                await self._relay(near)
            finally:
                self.scopes.discard(scope)

    async def _relay(self, near: trio.SocketStream) -> None:
        try:
            far = await trio.open_tcp_stream(self.real.host, self.real.port)
        except OSError:
            # Nobody listens behind the proxy: the caller sees its connection end.
            return
        epoch = self.epoch if self.mode is Mode.PASS else self.epoch - 1
        async with far:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, near, far, True, epoch, nursery)
                    nursery.start_soon(self._pump, far, near, False, epoch, nursery)
            except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                # Either end has gone; both connections are closed.
                pass

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        inward: bool,
        epoch: int,
        nursery: trio.Nursery,
    ) -> None:
        while data := await source.receive_some(CHUNK_BYTES):
            is_cut = epoch != self.epoch
            if is_cut and not (self.mode is Mode.ONE_WAY and inward):
                await trio.sleep_forever()
            if self.mode is Mode.DELAY:
                await trio.sleep(self.delay_seconds)
            await sink.send_all(data)
        nursery.cancel_scope.cancel()
