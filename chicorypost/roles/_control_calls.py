"""HTTP calls of operators and upstreams to a control instance."""

import time
from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

import msgspec
import trio

from chicorypost.announcements import (
    Announcement,
    AnnouncementOutcome,
    LeaveNotice,
    UpstreamCallCompleted,
    UpstreamCallReceived,
)
from chicorypost.base import InstanceId
from chicorypost.consensus import ProposalAccepted, Propose, Read, ReadReady
from chicorypost.metrics import PlainHistogram
from chicorypost.platform import (
    AnnounceCall,
    EvacuationCall,
    InvalidAnnouncement,
    LeaveCall,
    SimpleCall,
    make_bad_request_response,
    make_document_response,
    make_not_found_response,
    make_ok_response,
    make_redirect_response,
    make_unavailable_response,
    read_announcement,
    read_call,
    read_configuration,
    read_leave_notice,
)
from chicorypost.roles._evacuation_calls import EvacuationCallHandler
from chicorypost.roles._event_log import EventLog
from chicorypost.roles._events import (
    CONFIGURATION_ACCEPTED,
    CONFIGURATION_REFUSED,
    UPSTREAM_CALL_REFUSED,
)
from chicorypost.roles._pending_outcomes import PendingOutcomes
from chicorypost.roles._replica_host import ReplicaHost
from chicorypost.routing import InvalidRouting, RoutingState, make_store_command
from chicorypost.transport import HttpServerRequest, HttpServerResponse

NANOSECONDS_PER_MS = 1_000_000
LOG_TIMEOUT_SECONDS = 0.9
"""Timeout of a proposal or read; callers try another instance after one second."""
ANNOUNCED_RUN = "announced run"
"""Key of the id and the start of the upstream that has announced itself on a connection last."""
ANNOUNCEMENT_TIMEOUT_SECONDS = 0.8
"""Timeout of an announcement's replication; upstreams give up after one second."""


class ControlCallHandler:
    """Handles the calls to one control instance.

    Parameters
    ----------
    instance : InstanceId
        Id of this instance.
    replica_host : ReplicaHost
        Holds the replica of the log.
    routing_state : RoutingState
        Configuration that this instance has applied.
    pending_outcomes : PendingOutcomes
        Posts events to the state machines and waits for the effects that complete them.
    event_log : EventLog
        Receives log events.
    evacuation_calls : EvacuationCallHandler
        Handles the calls about evacuations.
    """

    def __init__(
        self,
        instance: InstanceId,
        replica_host: ReplicaHost,
        routing_state: RoutingState,
        pending_outcomes: PendingOutcomes,
        event_log: EventLog,
        evacuation_calls: EvacuationCallHandler,
    ) -> None:
        self.instance = instance
        self.replica_host = replica_host
        self.routing_state = routing_state
        self.pending_outcomes = pending_outcomes
        self.event_log = event_log
        self.evacuation_calls = evacuation_calls
        self.call_seconds = PlainHistogram()

    def handle(
        self, request: HttpServerRequest
    ) -> HttpServerResponse | Awaitable[HttpServerResponse]:
        """Handle one call and record its duration.

        Nearly all calls are announcements that change nothing; their response is returned at once.
        """
        started_at = trio.current_time()
        response = self._respond(request)
        if not isinstance(response, HttpServerResponse):
            return self._finish(response, started_at)
        self.call_seconds.observe(trio.current_time() - started_at)
        return response

    async def _finish(
        self, awaitable: Awaitable[HttpServerResponse], started_at: float
    ) -> HttpServerResponse:
        response = await awaitable
        self.call_seconds.observe(trio.current_time() - started_at)
        return response

    def _respond(
        self, request: HttpServerRequest
    ) -> HttpServerResponse | Awaitable[HttpServerResponse]:
        match read_call(request):
            case AnnounceCall(upstream_name):
                return self._announce(request, upstream_name, read_announcement)
            case LeaveCall(upstream_name):
                return self._announce(request, upstream_name, read_leave_notice)
            case SimpleCall.PUT_CONFIGURATION:
                return self._put_configuration(request)
            case SimpleCall.GET_CONFIGURATION:
                return self._get_configuration(request)
            case EvacuationCall() as call:
                return self._redirect_without(self.evacuation_calls.order(call), request)
            case SimpleCall.GET_EVACUATIONS:
                return self._redirect_without(self.evacuation_calls.show(), request)
            case _:
                return make_not_found_response()

    def _announce(
        self,
        request: HttpServerRequest,
        upstream_name: str,
        read: Callable[[str, bytes, int], Announcement | LeaveNotice | InvalidAnnouncement],
    ) -> HttpServerResponse | Awaitable[HttpServerResponse]:
        upstream_call = read(upstream_name, request.body, time.time_ns() // NANOSECONDS_PER_MS)
        refusal_reason = self._find_refusal_reason(upstream_call)
        if refusal_reason is not None or isinstance(upstream_call, InvalidAnnouncement):
            reason = refusal_reason or "unreadable"
            event = UPSTREAM_CALL_REFUSED.emit(upstream=upstream_name[:60], reason=reason)
            self.event_log.emit(event)
            return make_bad_request_response(reason)
        if isinstance(upstream_call, LeaveNotice):
            upstream_call = _complete_leave_notice(upstream_call, request.connection_state)
        else:
            run = (upstream_call.upstream, upstream_call.started_at_ms)
            request.connection_state[ANNOUNCED_RUN] = run
        call_id = uuid4().hex
        outcome = self.pending_outcomes.post(call_id, UpstreamCallReceived(call_id, upstream_call))
        if outcome is None:
            return self._wait_for_replication(call_id)
        if outcome.outcome is AnnouncementOutcome.RUN_UNKNOWN:
            reason = AnnouncementOutcome.RUN_UNKNOWN.value
            self.event_log.emit(UPSTREAM_CALL_REFUSED.emit(upstream=upstream_name, reason=reason))
        return _make_response(outcome)

    async def _wait_for_replication(self, call_id: str) -> HttpServerResponse:
        return _make_response(
            await self.pending_outcomes.wait(call_id, ANNOUNCEMENT_TIMEOUT_SECONDS)
        )

    def _find_refusal_reason(
        self, upstream_call: Announcement | LeaveNotice | InvalidAnnouncement
    ) -> str | None:
        """Return why a call is rejected, or None if it is valid."""
        if isinstance(upstream_call, InvalidAnnouncement):
            return upstream_call.detail
        document = self.routing_state.document
        if document is None or isinstance(upstream_call, LeaveNotice):
            return None
        is_known_service = any(spec.service == upstream_call.service for spec in document.services)
        reason = f"field `service`: unknown service {upstream_call.service!r:.60}"
        return None if is_known_service else reason

    async def _put_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        document = read_configuration(request.body)
        if isinstance(document, InvalidRouting):
            self.event_log.emit(CONFIGURATION_REFUSED.emit(reason=document.detail))
            return make_bad_request_response(document.detail)
        if document.version > self.routing_state.version:
            proposal_id = uuid4().hex
            command = Propose(proposal_id, make_store_command(document, request.body))
            outcome = await self.pending_outcomes.post_and_wait(
                proposal_id, command, LOG_TIMEOUT_SECONDS
            )
            if not isinstance(outcome, ProposalAccepted):
                return self._redirect_to_leader(request)
        # A version that isn't higher than the version in force is acknowledged without a change.
        self.event_log.emit(CONFIGURATION_ACCEPTED.emit(version=document.version))
        return make_ok_response()

    async def _get_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        read_id = uuid4().hex
        outcome = await self.pending_outcomes.post_and_wait(
            read_id, Read(read_id), LOG_TIMEOUT_SECONDS
        )
        if not isinstance(outcome, ReadReady):
            return self._redirect_to_leader(request)
        if self.routing_state.document is None:
            return make_unavailable_response("no configuration yet")
        return make_document_response(self.routing_state.stored.original)

    async def _redirect_without(
        self, awaitable: Awaitable[HttpServerResponse | None], request: HttpServerRequest
    ) -> HttpServerResponse:
        """Return a response, or redirect the caller if there is none."""
        response = await awaitable
        return response if response is not None else self._redirect_to_leader(request)

    def _redirect_to_leader(self, request: HttpServerRequest) -> HttpServerResponse:
        """Redirect the caller to the leader, or return 503 if no other leader is known."""
        leader = self.replica_host.replica.leader if self.replica_host.replica is not None else None
        if leader is None or leader == self.instance:
            return make_unavailable_response("no quorum confirms that this instance is current")
        return make_redirect_response(leader, request)


def _complete_leave_notice(notice: LeaveNotice, connection_state: dict[str, Any]) -> LeaveNotice:
    """Return a notice with the run that has announced itself on the same connection.

    A connection is opened by one process and so belongs to one run, however late its bytes arrive.
    """
    upstream, started_at_ms = connection_state.get(ANNOUNCED_RUN, (None, None))
    if notice.started_at_ms is not None or upstream != notice.upstream:
        return notice
    return msgspec.structs.replace(notice, started_at_ms=started_at_ms)


def _make_response(outcome: Any) -> HttpServerResponse:
    """Return the response to an announcement or leave notice, by the effect that completed it."""
    if not isinstance(outcome, UpstreamCallCompleted):
        return make_unavailable_response("other control instances don't answer")
    if outcome.outcome is AnnouncementOutcome.NOT_YET_KNOWN:
        return make_unavailable_response("this instance doesn't know all upstreams yet")
    if outcome.outcome is AnnouncementOutcome.RUN_UNKNOWN:
        return make_unavailable_response("this instance doesn't know which run is leaving")
    return make_ok_response()
