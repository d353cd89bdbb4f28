"""Graceful stop by signals, with a stored deadline."""

import signal
from collections.abc import Awaitable, Callable

import trio

from chicorypost.daemons._events import STOPPING
from chicorypost.events import Emit


class StopControl:
    """Waits for SIGTERM or SIGINT; a second one ends the process at once.

    Parameters
    ----------
    limit_seconds : float
        How long a graceful stop may take.
    emit : callable
        Takes log events.

    Attributes
    ----------
    deadline : float or None
        When the graceful stop ends at the latest, on trio's clock.
    graceful : bool
        False when a second signal or the deadline ended the stop.
    """

    def __init__(self, timeout_seconds: float, emit: Callable[[Emit], None]) -> None:
        self.timeout_seconds = timeout_seconds
        self.emit = emit
        self.deadline: float | None = None
        self.is_graceful = True

    @property
    def is_stopping(self) -> bool:
        """Whether a stop has begun."""
        return self.deadline is not None

    async def run(
        self,
        drain: Callable[[], Awaitable[None]],
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait for a signal, drain within the limit, then cancel the scope.

        Started by `trio.Nursery.start`, so that a signal is awaited before the process says that
        it serves.
        """
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            task_status.started()
            number = await anext(aiter(signals))
            self.deadline = trio.current_time() + self.timeout_seconds
            name = signal.Signals(number).name
            self.emit(STOPPING.emit(signal=name, limit_seconds=self.timeout_seconds))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._abort_on_second_signal, signals, nursery.cancel_scope)
                with trio.move_on_at(self.deadline) as limit:
                    await drain()
                self.is_graceful = self.is_graceful and not limit.cancelled_caught
                nursery.cancel_scope.cancel()
            scope.cancel()

    async def _abort_on_second_signal(self, signals: object, scope: trio.CancelScope) -> None:
        async for _ in signals:  # type: ignore[attr-defined]
            self.is_graceful = False
            scope.cancel()
