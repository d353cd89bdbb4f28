"""Callers that wait for the answer of a state machine."""

from typing import Any

import msgspec
import trio

from chicorypost.base import Event
from chicorypost.daemons import Engine


class _PendingOutcome(msgspec.Struct):
    arrived: trio.Event = msgspec.field(default_factory=trio.Event)
    effect: Any = None


class PendingOutcomes:
    """Hands events to the machines and waits for the effect that answers them.

    Parameters
    ----------
    engine : Engine
        Runs the machines.
    """

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.pending_by_id: dict[str, _PendingOutcome] = {}

    async def post_and_wait(self, name: str, event: Event, limit_seconds: float) -> Any:
        """Return the answer with the given name, or None if none came in time."""
        waiter = self.pending_by_id[name] = _PendingOutcome()
        try:
            self.engine.post(event)
            with trio.move_on_after(limit_seconds):
                await waiter.arrived.wait()
        finally:
            del self.pending_by_id[name]
        return waiter.effect

    def deliver_outcome(self, name: str, answer: Any) -> None:
        """Take an answer; one for which nobody waits any more is dropped."""
        waiter = self.pending_by_id.get(name)
        if waiter is not None:
            waiter.effect = answer
            waiter.arrived.set()
