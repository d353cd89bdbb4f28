"""Calls of operators and upstreams at a control instance."""

from uuid import uuid4

import trio

from chicorypost.announcements import (
    Announcement,
    LeaveNotice,
    UpstreamCallCompleted,
    UpstreamCallReceived,
)
from chicorypost.base import InstanceId
from chicorypost.consensus import ProposalAccepted, Propose, Read, ReadReady
from chicorypost.metrics import PlainHistogram
from chicorypost.platform import (
    AnnounceCall,
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

LOG_TIMEOUT_SECONDS = 0.9
"""How long a call waits for the log; callers try another instance after one second."""
ANNOUNCEMENT_TIMEOUT_SECONDS = 0.8
"""How long an announcement waits for the peers; upstreams give up after one second."""


class ControlCallHandler:
    """Answers the calls of one control instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    host : ReplicaHost
        The replica.
    state : RoutingState
        The configuration on this instance.
    waiters : Waiters
        Hands events to the machines and waits for answers.
    journal : Journal
        Takes log events.
    """

    def __init__(
        self,
        instance: InstanceId,
        host: ReplicaHost,
        state: RoutingState,
        waiters: PendingOutcomes,
        journal: EventLog,
    ) -> None:
        self.instance = instance
        self.replica_host = host
        self.routing_state = state
        self.pending_outcomes = waiters
        self.event_log = journal
        self.call_seconds = PlainHistogram()

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Answer one call and count how long it took."""
        started_at = trio.current_time()
        response = await self._respond(request)
        self.call_seconds.observe(trio.current_time() - started_at)
        return response

    async def _respond(self, request: HttpServerRequest) -> HttpServerResponse:
        match read_call(request):
            case AnnounceCall(name):
                return await self._announce(name, read_announcement(name, request.body))
            case LeaveCall(name):
                return await self._announce(name, read_leave_notice(name, request.body))
            case SimpleCall.PUT_CONFIGURATION:
                return await self._put_configuration(request)
            case SimpleCall.GET_CONFIGURATION:
                return await self._get_configuration(request)
            case _:
                return make_not_found_response()

    async def _announce(
        self, name: str, content: Announcement | LeaveNotice | InvalidAnnouncement
    ) -> HttpServerResponse:
        refusal = self._find_refusal_reason(content)
        if refusal is not None or isinstance(content, InvalidAnnouncement):
            reason = refusal or "unreadable"
            event = UPSTREAM_CALL_REFUSED.emit(upstream=name[:60], reason=reason)
            self.event_log.emit(event)
            return make_bad_request_response(reason)
        call = uuid4().hex
        answer = await self.pending_outcomes.post_and_wait(
            call, UpstreamCallReceived(call, content), ANNOUNCEMENT_TIMEOUT_SECONDS
        )
        if not isinstance(answer, UpstreamCallCompleted):
            return make_unavailable_response("other control instances don't answer")
        return make_ok_response()

    def _find_refusal_reason(
        self, content: Announcement | LeaveNotice | InvalidAnnouncement
    ) -> str | None:
        """Return why a call can't be used, or None."""
        if isinstance(content, InvalidAnnouncement):
            return content.detail
        document = self.routing_state.document
        if document is None or isinstance(content, LeaveNotice):
            return None
        is_known = any(spec.service == content.service for spec in document.services)
        return None if is_known else f"unknown service {content.service!r:.60}"

    async def _put_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        document = read_configuration(request.body)
        if isinstance(document, InvalidRouting):
            self.event_log.emit(CONFIGURATION_REFUSED.emit(reason=document.detail))
            return make_bad_request_response(document.detail)
        if document.version > self.routing_state.version:
            proposal = uuid4().hex
            command = Propose(proposal, make_store_command(document, request.body))
            answer = await self.pending_outcomes.post_and_wait(
                proposal, command, LOG_TIMEOUT_SECONDS
            )
            if not isinstance(answer, ProposalAccepted):
                return self._redirect_to_leader(request)
        # A version that isn't higher than the one in force is acknowledged and changes nothing.
        self.event_log.emit(CONFIGURATION_ACCEPTED.emit(version=document.version))
        return make_ok_response()

    async def _get_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        read = uuid4().hex
        answer = await self.pending_outcomes.post_and_wait(read, Read(read), LOG_TIMEOUT_SECONDS)
        if not isinstance(answer, ReadReady):
            return self._redirect_to_leader(request)
        if self.routing_state.document is None:
            return make_unavailable_response("no configuration yet")
        return make_document_response(self.routing_state.stored.original)

    def _redirect_to_leader(self, request: HttpServerRequest) -> HttpServerResponse:
        """Send the caller to the leader, or away if none is known."""
        leader = self.replica_host.replica.leader if self.replica_host.replica is not None else None
        if leader is None or leader == self.instance:
            return make_unavailable_response("no quorum confirms that this instance is current")
        return make_redirect_response(leader, request)
