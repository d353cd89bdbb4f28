"""Waiting for the effect by which a state machine completes a request."""

from typing import Any

import msgspec
import trio

from chicorypost.base import Event
from chicorypost.daemons import Engine


class _PendingOutcome(msgspec.Struct):
    arrived: trio.Event = msgspec.field(default_factory=trio.Event)
    effect: Any = None


class PendingOutcomes:
    """Posts events to the state machines and waits for the effects that complete them.

    Parameters
    ----------
    engine : Engine
        Runs the state machines.
    """

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.pending_by_id: dict[str, _PendingOutcome] = {}

    def post(self, request_id: str, event: Event) -> Any:
        """Post an event; return the effect if it completed the request at once, or None.

        A request that isn't complete must be waited for with `wait`.
        """
        pending = self.pending_by_id[request_id] = _PendingOutcome()
        try:
            self.engine.post(event)
        except BaseException:
            del self.pending_by_id[request_id]
            raise
        if pending.effect is not None:
            del self.pending_by_id[request_id]
        return pending.effect

    async def wait(self, request_id: str, timeout_seconds: float) -> Any:
        """Return the effect that completes a posted request, or None on timeout."""
        pending = self.pending_by_id[request_id]
        try:
            with trio.move_on_after(timeout_seconds):
                await pending.arrived.wait()
        finally:
            del self.pending_by_id[request_id]
        return pending.effect

    async def post_and_wait(self, request_id: str, event: Event, timeout_seconds: float) -> Any:
        """Post an event and return the effect that completes the request, or None on timeout."""
        effect = self.post(request_id, event)
        return effect if effect is not None else await self.wait(request_id, timeout_seconds)

    def deliver_outcome(self, request_id: str, effect: Any) -> None:
        """Deliver an effect to the waiting caller; drop it if the caller has timed out.

        The first effect counts: the application of a command tells more than the acceptance of its
        proposal, which follows it.
        """
        pending = self.pending_by_id.get(request_id)
        if pending is not None and pending.effect is None:
            pending.effect = effect
            pending.arrived.set()
