"""Outcomes of requests and their HTTP responses."""

import json
import math
from dataclasses import dataclass
from enum import Enum

from chicorypost.upstreams import HttpResponse

OUTCOME_HEADER = "Chicorypost-Outcome"
PROBLEM_TYPE_PREFIX = "urn:chicorypost:outcome:"


class Outcome(Enum):
    """Guarantee that a response gives to the caller."""

    DONE = "done"
    """The request ran and this is its response."""
    NOT_RUN = "not-run"
    """The request was not run and never will be under this key."""
    OUTCOME_UNKNOWN = "outcome-unknown"
    """The request may have run; a retry with the same key is safe."""
    TRY_AGAIN = "try-again"
    """Nothing was decided for the request; a retry with the same key is safe."""
    REJECTED = "rejected"
    """The request is invalid; nothing was decided for it."""


class Reason(Enum):
    """Cause of an outcome."""

    ANSWERED = "answered"
    ANSWER_NOT_KEPT = "answer-not-kept"
    ANSWER_LOST = "answer-lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    STILL_RUNNING = "still-running"
    OWNER_UNREACHABLE = "owner-unreachable"
    OWNER_NOT_READY = "owner-not-ready"
    RECORD_LOST = "record-lost"
    RECORD_EXPIRED = "record-expired"
    TABLE_FULL = "table-full"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    KEY_MISSING = "key-missing"
    KEY_INVALID = "key-invalid"
    KEY_REUSED = "key-reused"
    KEY_IN_FUTURE = "key-in-future"
    UNKNOWN_SERVICE = "unknown-service"


_STATUS = {
    Outcome.NOT_RUN: 409,
    Outcome.OUTCOME_UNKNOWN: 504,
    Outcome.TRY_AGAIN: 503,
    Outcome.REJECTED: 400,
}
_REASON_STATUS = {
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.KEY_REUSED: 422,
    Reason.UNKNOWN_SERVICE: 404,
}
_TITLE = {
    Outcome.DONE: "The request has run; its answer is not kept any more.",
    Outcome.NOT_RUN: "The request was not run and will not be run under this key.",
    Outcome.OUTCOME_UNKNOWN: "The request may have run. Ask again with the same key.",
    Outcome.TRY_AGAIN: "This attempt decided nothing. Ask again with the same key.",
    Outcome.REJECTED: "The request is not acceptable as it is.",
}


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The outcome of one request for one caller."""

    outcome: Outcome
    reason: Reason
    response: HttpResponse | None = None
    retry_after_ms: int = 0


def to_response(result: RequestResult) -> HttpResponse:
    """Return the HTTP response that reports an outcome to the caller.

    Parameters
    ----------
    result : RequestResult
        Outcome and reason, with the upstream's response if there is one.

    Returns
    -------
    HttpResponse
        The upstream's response with the outcome header, or a problem document (RFC 9457).
    """
    outcome = (OUTCOME_HEADER, result.outcome.value)
    if result.response is not None:
        response = result.response
        return HttpResponse(response.status, (*response.headers, outcome), response.body)
    status = _REASON_STATUS.get(result.reason) or _STATUS[result.outcome]
    headers = [("Content-Type", "application/problem+json"), outcome]
    if result.outcome in (Outcome.TRY_AGAIN, Outcome.OUTCOME_UNKNOWN):
        headers.append(("Retry-After", str(max(1, math.ceil(result.retry_after_ms / 1000)))))
    problem = {
        "type": PROBLEM_TYPE_PREFIX + result.outcome.value,
        "title": _TITLE[result.outcome],
        "status": status,
        "reason": result.reason.value,
    }
    return HttpResponse(status, tuple(headers), json.dumps(problem).encode())
