"""The promises, judged by what clients, upstreams and operators have seen."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

DRAIN_LIMIT_SECONDS = 3.0
FAULT_GRACE_SECONDS = 4.0
"""A promise with a time bound holds this long after the last fault."""
RECOVERY_LIMIT_SECONDS = 12.0
"""After this time without a fault, requests have to be answered again."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken promise."""

    at: float
    guarantee: str
    detail: str


@dataclass(slots=True)
class GuaranteeChecks:
    """Takes what was seen, in order of time, and keeps the findings.

    Parameters
    ----------
    services : dict of target to str
        The service that each virtual address belongs to.
    """

    services: dict[tuple[str, int], str]
    now: float = 0.0
    last_fault: float = float("-inf")
    findings: list[Finding] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    run_counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    drained_at: dict[str, float] = field(default_factory=dict)
    ended_at: dict[str, float] = field(default_factory=dict)
    acknowledged_version: int = 0

    @property
    def is_fault_free(self) -> bool:
        """Whether promises with a time bound hold now."""
        return self.now - self.last_fault >= FAULT_GRACE_SECONDS

    def record_fault(self, detail: str) -> None:
        """Note that a fault begins or ends."""
        self.last_fault = self.now
        self.counts["faults"] += 1

    def record(self, kind: str, **seen: Any) -> None:
        """Take one thing that was seen."""
        self.counts[kind] += 1
        check = getattr(self, "_check_" + kind.replace("-", "_"), None)
        if check is not None:
            check(**seen)

    def _add_finding(self, promise: str, detail: str) -> None:
        self.findings.append(Finding(self.now, promise, detail))

    def _check_run(self, upstream: str, request: str, service: str) -> None:
        self.run_counts[request] += 1
        if self.run_counts[request] > 1:
            self._add_finding(
                "at most once", f"{request} ran {self.run_counts[request]} times, last {upstream}"
            )

    def _check_opened(self, upstream: str, service: str, target: tuple[str, int]) -> None:
        wanted = self.services.get(target)
        if wanted != service:
            self._add_finding(
                "right service", f"{target} is of {wanted}, opened at {upstream}, {service}"
            )
        drained_at = self.drained_at.get(upstream)
        if drained_at is None or not self.is_fault_free:
            return
        if self.now - max(drained_at, self.last_fault) > DRAIN_LIMIT_SECONDS:
            detail = f"{upstream} got a flow {self.now - drained_at:.1f} s after its drain"
            self._add_finding("no new work to what leaves", detail)

    def _check_answered(
        self, request: str, target: tuple[str, int], body: str, service: str
    ) -> None:
        if body != request:
            self._add_finding("own answer", f"{request} got the answer to {body}")
        if service != self.services.get(target):
            self._add_finding("right service", f"{request} to {target} was answered by {service}")

    def _check_reset(self, request: str, target: tuple[str, int], mark: int) -> None:
        if mark == 0 and self.is_fault_free and not self._has_recent_upstream_end():
            self._add_finding("whole flows", f"a balancer reset the flow of {request} to {target}")

    def _has_recent_upstream_end(self) -> bool:
        """Return whether an upstream has ended, so that its flows may be reset."""
        return any(self.now - at < RECOVERY_LIMIT_SECONDS for at in self.ended_at.values())

    def _check_ended(self, detail: str) -> None:
        self._add_finding("no end by itself", detail)

    def _check_drain_acknowledged(self, upstream: str) -> None:
        self.drained_at[upstream] = self.now

    def _check_left(self, upstream: str) -> None:
        self.ended_at[upstream] = self.now

    def _check_flow_failed(self, target: tuple[str, int], reason: str, port: int) -> None:
        if (
            self.now - self.last_fault > RECOVERY_LIMIT_SECONDS
            and not self._has_recent_upstream_end()
        ):
            self._add_finding("serves", f"a flow to {target} failed in calm: {reason}")

    def _check_put_acknowledged(self, version: int) -> None:
        self.acknowledged_version = max(self.acknowledged_version, version)

    def _check_read(self, version: int, floor: int) -> None:
        if version < floor:
            self._add_finding(
                "acknowledged stays", f"read version {version}, {floor} was acknowledged"
            )

    def check_final_state(self, last_read: int | None, served: int) -> None:
        """Judge the end: everything acknowledged is there and requests are served."""
        if last_read is None:
            self._add_finding("acknowledged stays", "no control instance answers a read at the end")
        elif last_read < self.acknowledged_version:
            detail = f"read {last_read} at the end, {self.acknowledged_version} was acknowledged"
            self._add_finding("acknowledged stays", detail)
        if not served:
            self._add_finding("serves", "no request was answered at the end")
