"""Classification of requests by the operators' idempotency rules."""

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
        Configuration of the service, with its idempotency rules.
    method : str
        Request method; case-sensitive.
    target : str
        Request target; the query is ignored.

    Returns
    -------
    RequestClass
        IDEMPOTENT only if a rule matches. A path that an upstream could normalise to another one
        (dot segments, escapes, repeated slashes or backslashes) is never idempotent.
    """
    path = target.partition("?")[0]
    if _is_ambiguous(path):
        return RequestClass.NON_IDEMPOTENT
    for rule in spec.idempotent:
        if rule.method == method and _has_path_prefix(path, rule.path_prefix):
            return RequestClass.IDEMPOTENT
    return RequestClass.NON_IDEMPOTENT


def _is_ambiguous(path: str) -> bool:
    if not path.startswith("/") or "//" in path or "\\" in path or "%" in path or "#" in path:
        return True
    return any(segment in (".", "..") for segment in path.split("/"))


def _has_path_prefix(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
