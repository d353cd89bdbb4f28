"""Problem details (RFC 9457) of the operators' API."""

import json
from typing import Any

from chicorypost.configuration import PatchRefusalReason, PatchRefused
from chicorypost.consensus import ProposalRefused, ReadRefused
from chicorypost.transport import HttpServerResponse

PROBLEM_HEADERS = (("content-type", "application/problem+json"),)
TYPE_PREFIX = "urn:chicorypost:problem:"

_STATUS_BY_REASON = {
    PatchRefusalReason.MALFORMED: 400,
    PatchRefusalReason.INVALID: 422,
    PatchRefusalReason.STALE_VERSION: 412,
    PatchRefusalReason.EXPIRED: 410,
    PatchRefusalReason.PATCH_ID_REUSED: 409,
    PatchRefusalReason.PATCH_ID_INVALID: 400,
}
_TITLE_BY_REASON = {
    PatchRefusalReason.MALFORMED: "The patch can't be read.",
    PatchRefusalReason.INVALID: "The patch has mistakes; nothing was changed.",
    PatchRefusalReason.STALE_VERSION: "The configuration has changed; patch the current version.",
    PatchRefusalReason.EXPIRED: (
        "The patch id is too old to be remembered; nothing was changed now."
    ),
    PatchRefusalReason.PATCH_ID_REUSED: "The patch id was used for another patch; use a new one.",
    PatchRefusalReason.PATCH_ID_INVALID: "The patch id is not a recent UUID of version 7.",
}


def make_problem_response(status: int, kind: str, title: str, **fields: Any) -> HttpServerResponse:
    """Return a response whose JSON body holds problem details."""
    body = {"type": TYPE_PREFIX + kind, "title": title, "status": status, **fields}
    return HttpServerResponse(status, json.dumps(body, indent=2).encode() + b"\n", PROBLEM_HEADERS)


def make_patch_refused_response(refusal: PatchRefused) -> HttpServerResponse:
    """Return the response to a refused patch."""
    reason = refusal.reason
    errors = [
        {"path": item.path, "got": item.got, "allowed": item.allowed} for item in refusal.mistakes
    ]
    details: dict[str, Any] = {"current_version": refusal.current}
    if errors:
        details["mistakes"] = errors
    return make_problem_response(
        _STATUS_BY_REASON[reason], reason.value, _TITLE_BY_REASON[reason], **details
    )


def make_log_refused_response(refusal: ProposalRefused | ReadRefused) -> HttpServerResponse:
    """Return the response to a request that this instance can't serve but another one may."""
    title = "This control instance can't answer; ask the leader or another instance."
    return make_problem_response(503, refusal.reason.value, title, leader=refusal.leader)


PATCH_UNKNOWN_TITLE = "No answer yet; send the same patch with the same patch id again."
CHANGE_UNKNOWN_TITLE = "No answer yet; the change may still be made. Send the same change again."


def make_outcome_unknown_response(title: str) -> HttpServerResponse:
    """Return the response to a request without a reply of the log in time; it may still commit."""
    return make_problem_response(504, "outcome-unknown", title)
