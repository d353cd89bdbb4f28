"""Graceful stop on a signal, with a deadline."""

import signal
from collections.abc import Awaitable, Callable

import trio

from chicorypost.daemons._events import STOPPING
from chicorypost.events import Emit


class StopControl:
    """Drains the process on SIGTERM or SIGINT; a second signal ends it immediately.

    Parameters
    ----------
    timeout_seconds : float
        Time limit of a graceful stop, in seconds.
    emit : callable
        Logs an event.

    Attributes
    ----------
    deadline : float or None
        Latest end of the graceful stop, on trio's clock; None until a signal arrives.
    is_graceful : bool
        False if a second signal or the deadline ended the stop.
    """

    def __init__(self, timeout_seconds: float, emit: Callable[[Emit], None]) -> None:
        self.timeout_seconds = timeout_seconds
        self.emit = emit
        self.deadline: float | None = None
        self.is_graceful = True

    @property
    def is_stopping(self) -> bool:
        """Whether a signal has started the stop."""
        return self.deadline is not None

    async def run(
        self,
        drain: Callable[[], Awaitable[None]],
        scope: trio.CancelScope,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait for a signal, drain within the timeout, then cancel the scope.

        Start this with `trio.Nursery.start`, which returns when the signal handlers are installed:
        the process reports that it has started only after that.
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
