"""Classification of requests by the rules that operators set."""

from enum import Enum

from chicorypost.configuration import ServiceSpec


class RequestClass(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


def classify(spec: ServiceSpec, method: str, target: str) -> RequestClass:
    """Classify a request by method and path.

    Parameters
    ----------
    spec : ServiceSpec
        The service with its rules.
    method : str
        Request method, in its exact case.
    target : str
        Request target; a query is not part of the path.

    Returns
    -------
    RequestClass
        IDEMPOTENT only if a rule says so. A path that an upstream could read as another one
        (dot segments, escapes, doubled or back slashes) is never idempotent.
    """
    path = target.partition("?")[0]
    if _is_ambiguous(path):
        return RequestClass.NON_IDEMPOTENT
    for rule in spec.idempotent:
        if rule.method == method and _is_below(path, rule.path_prefix):
            return RequestClass.IDEMPOTENT
    return RequestClass.NON_IDEMPOTENT


def _is_ambiguous(path: str) -> bool:
    if not path.startswith("/") or "//" in path or "\\" in path or "%" in path or "#" in path:
        return True
    return any(segment in (".", "..") for segment in path.split("/"))


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
