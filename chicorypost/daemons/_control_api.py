"""HTTP API of a control instance for operators."""

import functools
import json
from collections.abc import Awaitable, Callable
from typing import Any

from chicorypost.base import DataCentreId, PatchId, Version, encode
from chicorypost.configuration import (
    ConfigurationPublisher,
    ForgetDataCentre,
    PatchAccepted,
    PatchFormat,
    PatchRefused,
    SubmitPatch,
    version_status,
)
from chicorypost.consensus import (
    AddLearner,
    ChangeMembership,
    ClusterMembership,
    MemberId,
    MembershipChange,
    PromoteLearner,
    ProposalRefusalReason,
    ProposalRefused,
    ReadRefused,
    RemoveMember,
    Replica,
)
from chicorypost.daemons._admin import json_response
from chicorypost.daemons._control_log import ControlLog
from chicorypost.daemons._control_problems import (
    CHANGE_UNKNOWN_TITLE,
    PATCH_UNKNOWN_TITLE,
    make_log_refused_response,
    make_outcome_unknown_response,
    make_patch_refused_response,
    make_problem_response,
)
from chicorypost.daemons._named import to_json_value
from chicorypost.daemons._wall import MS_PER_SECOND, format_wall_time, wall_clock_ms
from chicorypost.transport import HttpServerRequest, HttpServerResponse

MAX_HISTORY_ENTRIES = 200
MAX_ID_CHARACTERS = 200
UNKNOWN_AUTHOR = "unknown"

RequestHandler = Callable[[HttpServerRequest], Awaitable[HttpServerResponse]]


class OperatorEndpoint:
    """Routes and handles the requests of operators.

    Parameters
    ----------
    control_log : ControlLog
        The replicated configuration.
    replica : Replica
        The replica, whose role and membership the status shows.
    publisher : ConfigurationPublisher
        Tracks which version each data centre applies.
    dump : callable
        Returns the state of the process.
    log_timeout_seconds : float
        Timeout of a request that waits for the log, in seconds.
    """

    def __init__(
        self,
        control_log: ControlLog,
        replica: Replica,
        publisher: ConfigurationPublisher,
        dump: Callable[[], dict[str, Any]],
        log_timeout_seconds: float,
    ) -> None:
        self.control_log = control_log
        self.replica = replica
        self.publisher = publisher
        self.dump = dump
        self.log_timeout_seconds = log_timeout_seconds
        self.routes: dict[tuple[str, str], RequestHandler] = {
            ("GET", "/v1/config"): self.get_configuration,
            ("PATCH", "/v1/config"): self.patch_configuration,
            ("GET", "/v1/config/history"): self.get_history,
            ("GET", "/v1/status"): self.get_status,
            ("GET", "/v1/dump"): self.get_dump,
            ("POST", "/v1/members"): self.change_members,
        }

    async def handle(self, request: HttpServerRequest) -> HttpServerResponse:
        """Serve one request."""
        route = self.routes.get((request.method, request.path)) or self._find_parametric_route(
            request
        )
        if route is not None:
            return await route(request)
        known = ", ".join(f"{method} {path}" for method, path in self.routes)
        title = f"Request is {request.method} {request.path}; allowed are {known}."
        return make_problem_response(404, "unknown-path", title)

    def _find_parametric_route(self, request: HttpServerRequest) -> RequestHandler | None:
        parent, _, name = request.path.rpartition("/")
        match (request.method, parent):
            case ("GET", "/v1/config/versions") if name.isdecimal():
                return functools.partial(self.get_version, Version(int(name)))
            case ("DELETE", "/v1/data-centres") if name:
                return functools.partial(self.forget_data_centre, DataCentreId(name))
        return None

    async def get_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the configuration with its version as the entity tag."""
        if request.query.get("local") == "1":
            return self._make_configuration_response(self._make_staleness_headers())
        waiter = await self.control_log.wait_for_read(self.log_timeout_seconds)
        if isinstance(waiter.reply, ReadRefused):
            return make_log_refused_response(waiter.reply)
        if waiter.reply is None:
            return make_problem_response(
                504, "no-answer", "The quorum has not answered; try again."
            )
        return self._make_configuration_response(())

    async def patch_configuration(self, request: HttpServerRequest) -> HttpServerResponse:
        """Apply a patch to the version named in ``If-Match``."""
        command = _parse_patch(request)
        if isinstance(command, HttpServerResponse):
            return command
        known_outcome = self.control_log.state.check_patch(command) if self.replica.leader else None
        if known_outcome is not None:
            return _make_patch_response(known_outcome)
        waiter = await self.control_log.propose_command(encode(command), self.log_timeout_seconds)
        match waiter.reply:
            case ProposalRefused(reason=reason) as refusal if (
                reason is not ProposalRefusalReason.LEADERSHIP_LOST
            ):
                return make_log_refused_response(refusal)
        match waiter.outcome:
            case PatchAccepted() | PatchRefused() as outcome:
                return _make_patch_response(outcome)
        return make_outcome_unknown_response(PATCH_UNKNOWN_TITLE)

    async def get_history(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the latest changes with author, time and versions, newest first."""
        limit = request.query.get("limit", str(MAX_HISTORY_ENTRIES))
        count = min(int(limit), MAX_HISTORY_ENTRIES) if limit.isdecimal() else MAX_HISTORY_ENTRIES
        entries = self.control_log.state.history[-count:][::-1] if count else []
        return json_response(
            200,
            [{**to_json_value(entry), "at": format_wall_time(entry.at_ms)} for entry in entries],
        )

    async def get_version(self, version: Version, request: HttpServerRequest) -> HttpServerResponse:
        """Return in which data centres a version is in force."""
        rollout = version_status(self.publisher, version, self.control_log.engine.now())
        return json_response(200, to_json_value(rollout))

    async def get_status(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the replica state, silent members and the rollout of the current version."""
        now = self.control_log.engine.now()
        rollout = version_status(self.publisher, self.control_log.state.version, now)
        replica = self.replica
        members = replica.membership
        silent_seconds = {
            name: round(now - since, 3) for name, since in replica.silent_members.items()
        }
        status = {
            "instance": self.publisher.identity,
            "role": replica.role.value,
            "leader": replica.leader,
            "term": replica.term,
            "out_of_touch": self._describe_lost_contact(),
            "voters": to_json_value(members.voters),
            "learners": to_json_value(members.learners),
            "waiting": replica.waiting_members,
            "silent_seconds": silent_seconds,
            "version": self.control_log.state.version,
            "configuration": to_json_value(rollout),
        }
        return json_response(200, status)

    async def get_dump(self, request: HttpServerRequest) -> HttpServerResponse:
        """Return the state of the process and of all its state machines."""
        return json_response(200, self.dump())

    async def change_members(self, request: HttpServerRequest) -> HttpServerResponse:
        """Add, promote or remove one member of the replicated log.

        The answer to an earlier attempt may have been lost, so an addition or a promotion that the
        membership already shows is acknowledged again.
        """
        change = _parse_membership_change(request)
        if isinstance(change, HttpServerResponse):
            return change
        request_id = f"members-{wall_clock_ms()}-{id(request)}"
        waiter = await self.control_log.post_and_wait(
            request_id, ChangeMembership(request_id, change), self.log_timeout_seconds
        )
        if isinstance(waiter.reply, ProposalRefused):
            refusal = waiter.reply
            if refusal.reason in (
                ProposalRefusalReason.NOT_LEADER,
                ProposalRefusalReason.OUT_OF_TOUCH,
            ):
                return make_log_refused_response(refusal)
            if refusal.reason is ProposalRefusalReason.LEADERSHIP_LOST:
                return make_outcome_unknown_response(CHANGE_UNKNOWN_TITLE)
            if _is_made(change, self.replica.membership):
                return json_response(200, {"changed": to_json_value(change)})
            title = refusal.detail or "The change was refused."
            return make_problem_response(409, refusal.reason.value, title, leader=refusal.leader)
        if waiter.reply is None:
            return make_outcome_unknown_response(CHANGE_UNKNOWN_TITLE)
        return json_response(200, {"changed": to_json_value(change)})

    async def forget_data_centre(
        self, name: DataCentreId, request: HttpServerRequest
    ) -> HttpServerResponse:
        """Remove a decommissioned data centre from the ones that must confirm versions."""
        command = ForgetDataCentre(name, _get_author(request), wall_clock_ms())
        waiter = await self.control_log.propose_command(encode(command), self.log_timeout_seconds)
        if isinstance(waiter.reply, ProposalRefused):
            return make_log_refused_response(waiter.reply)
        if waiter.outcome is None:
            return make_outcome_unknown_response(CHANGE_UNKNOWN_TITLE)
        return json_response(200, to_json_value(waiter.outcome))

    def _make_configuration_response(
        self, headers: tuple[tuple[str, str], ...]
    ) -> HttpServerResponse:
        state = self.control_log.state
        response = json_response(200, state.desired)
        tag = (("etag", f'"{state.version}"'),)
        return HttpServerResponse(200, response.body, (*response.headers, *tag, *headers))

    def _make_staleness_headers(self) -> tuple[tuple[str, str], ...]:
        lost_contact = self._describe_lost_contact()
        return (("chicorypost-read", "local"),) + (
            (("chicorypost-out-of-touch-since", lost_contact["since"]),) if lost_contact else ()
        )

    def _describe_lost_contact(self) -> dict[str, Any] | None:
        since = self.replica.out_of_touch_since
        if since is None:
            return None
        seconds = self.control_log.engine.now() - since
        at_ms = wall_clock_ms() - int(seconds * MS_PER_SECOND)
        return {"since": format_wall_time(at_ms), "seconds": round(seconds, 3)}


def _get_author(request: HttpServerRequest) -> str:
    return request.header("from") or UNKNOWN_AUTHOR


def _parse_patch(request: HttpServerRequest) -> SubmitPatch | HttpServerResponse:
    media_type = (request.header("content-type") or "").partition(";")[0].strip()
    formats = {item.value: item for item in PatchFormat}
    if media_type not in formats:
        title = f"Content-Type is {media_type!r}; allowed are {', '.join(formats)}."
        return make_problem_response(415, "unsupported-format", title)
    expected = (request.header("if-match") or "").strip().strip('"')
    if not expected.isdecimal():
        title = "If-Match must name the version that the patch is made for."
        return make_problem_response(428, "version-required", title)
    patch_id = PatchId(request.header("patch-id") or "")
    patch_format = formats[media_type]
    version = Version(int(expected))
    return SubmitPatch(
        patch_id, version, patch_format, request.body, _get_author(request), wall_clock_ms()
    )


def _parse_membership_change(request: HttpServerRequest) -> MembershipChange | HttpServerResponse:
    title = 'The body must be {"action": "add" | "promote" | "remove", "instance", "generation"}.'
    try:
        body = json.loads(request.body)
        action, instance = body["action"], body["instance"]
        generation = body.get("generation")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return make_problem_response(400, "malformed", title)
    if not _is_name(instance) or not (generation is None or _is_name(generation)):
        return make_problem_response(400, "malformed", title)
    match action:
        case "add" if generation:
            return AddLearner(instance, generation)
        case "promote":
            return PromoteLearner(instance, generation)
        case "remove":
            return RemoveMember(instance, generation)
    return make_problem_response(400, "malformed", title)


def _is_name(value: Any) -> bool:
    """Return whether a value can be an id; one of another type would stop the members' log."""
    return isinstance(value, str) and 0 < len(value) <= MAX_ID_CHARACTERS


def _is_made(change: MembershipChange, membership: ClusterMembership) -> bool:
    """Return whether a membership shows the result of an addition or promotion.

    A member that is absent doesn't show a removal: its name may be mistyped.
    """
    match change:
        case AddLearner(instance, generation):
            return MemberId(instance, generation) in membership.members
        case PromoteLearner(instance, generation):
            return any(
                voter.instance == instance and generation in (None, voter.generation)
                for voter in membership.voters
            )
    return False


def _make_patch_response(outcome: PatchAccepted | PatchRefused) -> HttpServerResponse:
    if isinstance(outcome, PatchRefused):
        return make_patch_refused_response(outcome)
    response = json_response(200, to_json_value(outcome))
    headers = (*response.headers, ("etag", f'"{outcome.version}"'))
    return HttpServerResponse(200, response.body, headers)
