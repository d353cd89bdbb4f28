"""The promises, judged by what clients, upstreams and operators have seen."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

DRAIN_SECONDS = 3.0
CALM_SECONDS = 4.0
"""A promise with a time bound holds this long after the last fault."""
DARK_SECONDS = 12.0
"""After this time without a fault, requests have to be answered again."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken promise."""

    at: float
    promise: str
    detail: str


@dataclass(slots=True)
class Checks:
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
    runs: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    drained: dict[str, float] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    acknowledged: int = 0

    @property
    def is_calm(self) -> bool:
        """Whether promises with a time bound hold now."""
        return self.now - self.last_fault >= CALM_SECONDS

    def fault(self, detail: str) -> None:
        """Note that a fault begins or ends."""
        self.last_fault = self.now
        self.counts["faults"] += 1

    def note(self, kind: str, **seen: Any) -> None:
        """Take one thing that was seen."""
        self.counts[kind] += 1
        check = getattr(self, "_check_" + kind.replace("-", "_"), None)
        if check is not None:
            check(**seen)

    def _find(self, promise: str, detail: str) -> None:
        self.findings.append(Finding(self.now, promise, detail))

    def _check_run(self, upstream: str, request: str, service: str) -> None:
        self.runs[request] += 1
        if self.runs[request] > 1:
            self._find("at most once", f"{request} ran {self.runs[request]} times, last {upstream}")

    def _check_opened(self, upstream: str, service: str, target: tuple[str, int]) -> None:
        wanted = self.services.get(target)
        if wanted != service:
            self._find("right service", f"{target} is of {wanted}, opened at {upstream}, {service}")
        drained_at = self.drained.get(upstream)
        if drained_at is None or not self.is_calm:
            return
        if self.now - max(drained_at, self.last_fault) > DRAIN_SECONDS:
            detail = f"{upstream} got a flow {self.now - drained_at:.1f} s after its drain"
            self._find("no new work to what leaves", detail)

    def _check_answered(
        self, request: str, target: tuple[str, int], body: str, service: str
    ) -> None:
        if body != request:
            self._find("own answer", f"{request} got the answer to {body}")
        if service != self.services.get(target):
            self._find("right service", f"{request} to {target} was answered by {service}")

    def _check_reset(self, request: str, target: tuple[str, int], mark: int) -> None:
        if mark == 0 and self.is_calm and not self._ended_lately():
            self._find("whole flows", f"a balancer reset the flow of {request} to {target}")

    def _ended_lately(self) -> bool:
        """Return whether an upstream has ended, so that its flows may be reset."""
        return any(self.now - at < DARK_SECONDS for at in self.ended.values())

    def _check_ended(self, detail: str) -> None:
        self._find("no end by itself", detail)

    def _check_drain_acknowledged(self, upstream: str) -> None:
        self.drained[upstream] = self.now

    def _check_left(self, upstream: str) -> None:
        self.ended[upstream] = self.now

    def _check_flow_failed(self, target: tuple[str, int], reason: str, port: int) -> None:
        if self.now - self.last_fault > DARK_SECONDS and not self._ended_lately():
            self._find("serves", f"a flow to {target} failed in calm: {reason}")

    def _check_put_acknowledged(self, version: int) -> None:
        self.acknowledged = max(self.acknowledged, version)

    def _check_read(self, version: int, floor: int) -> None:
        if version < floor:
            self._find("acknowledged stays", f"read version {version}, {floor} was acknowledged")

    def finish(self, last_read: int | None, served: int) -> None:
        """Judge the end: everything acknowledged is there and requests are served."""
        if last_read is None:
            self._find("acknowledged stays", "no control instance answers a read at the end")
        elif last_read < self.acknowledged:
            detail = f"read {last_read} at the end, {self.acknowledged} was acknowledged"
            self._find("acknowledged stays", detail)
        if not served:
            self._find("serves", "no request was answered at the end")
