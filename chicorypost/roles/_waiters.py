"""Callers that wait for the answer of a state machine."""

from typing import Any

import msgspec
import trio

from chicorypost.base import Event
from chicorypost.daemons import Engine


class _Waiter(msgspec.Struct):
    arrived: trio.Event = msgspec.field(default_factory=trio.Event)
    answer: Any = None


class Waiters:
    """Hands events to the machines and waits for the effect that answers them.

    Parameters
    ----------
    engine : Engine
        Runs the machines.
    """

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.waiting: dict[str, _Waiter] = {}

    async def ask(self, name: str, event: Event, limit_seconds: float) -> Any:
        """Return the answer with the given name, or None if none came in time."""
        waiter = self.waiting[name] = _Waiter()
        try:
            self.engine.post(event)
            with trio.move_on_after(limit_seconds):
                await waiter.arrived.wait()
        finally:
            del self.waiting[name]
        return waiter.answer

    def answer(self, name: str, answer: Any) -> None:
        """Take an answer; one for which nobody waits any more is dropped."""
        waiter = self.waiting.get(name)
        if waiter is not None:
            waiter.answer = answer
            waiter.arrived.set()
