"""Calls of operators to a control instance about the evacuation of data centres."""

from uuid import uuid4

import trio

from chicorypost.base import DataCentreId, pack_record
from chicorypost.consensus import Propose, Read, ReadReady
from chicorypost.evacuation import EvacuationState, OrderApplied, OrderOutcome
from chicorypost.platform import (
    EvacuationCall,
    InvalidDataCentre,
    make_bad_request_response,
    make_evacuations_response,
    make_ok_response,
    read_data_centre,
)
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import EVACUATION_ACCEPTED, EVACUATION_REFUSED
from chicorypost.roles._pending_outcomes import PendingOutcomes
from chicorypost.transport import HttpServerResponse

CLOSE_WAIT_SECONDS = 0.1
"""Pause before an order is proposed. A request that a cut has held up arrives when the cut ends,
maybe after a later order. Its caller has given up by then, so the close of the connection arrives
one round trip later."""


class EvacuationCallHandler:
    """Handles orders to start or end an evacuation, and reads of the evacuated data centres.

    Parameters
    ----------
    state : EvacuationState
        State that this instance has applied; it may be behind that of the leader.
    pending_outcomes : PendingOutcomes
        Posts events to the state machines and waits for the effects that complete them.
    event_log : EventLog
        Receives log events.
    data_centres : frozenset of DataCentreId
        All data centres of the deployment; empty if they aren't known.
    timeout_seconds : float
        Timeout of a call, in seconds.
    """

    def __init__(
        self,
        state: EvacuationState,
        pending_outcomes: PendingOutcomes,
        event_log: EventLog,
        data_centres: frozenset[DataCentreId],
        timeout_seconds: float,
    ) -> None:
        self.state = state
        self.pending_outcomes = pending_outcomes
        self.event_log = event_log
        self.data_centres = data_centres
        self.timeout_seconds = timeout_seconds

    async def order(self, call: EvacuationCall) -> HttpServerResponse | None:
        """Carry out an order.

        Returns
        -------
        HttpServerResponse or None
            The response; None if the order may not be committed, so that the caller has to send it
            again.
        """
        name = self._read_name(call)
        if isinstance(name, InvalidDataCentre):
            return self._refuse(name.detail)
        outcome = await self._commit(name, call.is_start)
        if outcome is OrderOutcome.TOO_MANY:
            return self._refuse("too many data centres are evacuated")
        if outcome is not OrderOutcome.TAKEN:
            return None
        accepted = EVACUATION_ACCEPTED.emit(data_centre=name, evacuated=call.is_start)
        self.event_log.emit(accepted)
        return make_ok_response()

    async def show(self) -> HttpServerResponse | None:
        """Return the evacuated data centres, or None if this instance may not be current."""
        read_id = uuid4().hex
        outcome = await self.pending_outcomes.post_and_wait(
            read_id, Read(read_id), self.timeout_seconds
        )
        if not isinstance(outcome, ReadReady):
            return None
        evacuations = self.state.evacuations
        return make_evacuations_response(evacuations.revision, evacuations.data_centres)

    async def _commit(self, name: DataCentreId, is_evacuated: bool) -> OrderOutcome | None:
        """Propose an order until it takes effect; return None if that isn't known in time.

        The state that this instance has applied never acknowledges an order: it may be outdated,
        and only a command that takes effect makes earlier proposals for this entry outdated.
        """
        deadline = trio.current_time() + self.timeout_seconds
        # The server cancels this call if its caller closes the connection.
        await trio.sleep(CLOSE_WAIT_SECONDS)
        while (remaining_seconds := deadline - trio.current_time()) > 0.0:
            order_id = uuid4().hex
            command = self.state.make_command(order_id, name, is_evacuated)
            applied = await self.pending_outcomes.post_and_wait(
                order_id, Propose(order_id, pack_record(command)), remaining_seconds
            )
            if not isinstance(applied, OrderApplied):
                return None
            if applied.outcome is not OrderOutcome.OUTDATED:
                return applied.outcome
        return None

    def _read_name(self, call: EvacuationCall) -> DataCentreId | InvalidDataCentre:
        """Return the data centre of an order.

        An evacuation can be ended also after the data centre was removed from the settings.
        """
        name = read_data_centre(call.encoded_name, frozenset())
        if isinstance(name, InvalidDataCentre) or self.state.is_evacuated(name):
            return name
        return read_data_centre(call.encoded_name, self.data_centres)

    def _refuse(self, reason: str) -> HttpServerResponse:
        self.event_log.emit(EVACUATION_REFUSED.emit(reason=reason))
        return make_bad_request_response(reason)
