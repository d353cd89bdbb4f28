"""Checks the guarantees against the observations of clients, upstreams and operators."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from benchmarks.standins.platform_client import NOT_OPENED, REFUSED

DRAIN_LIMIT_SECONDS = 3.0
FAULT_GRACE_SECONDS = 4.0
"""Guarantees with a time bound apply from this time after the last fault."""
RECOVERY_LIMIT_SECONDS = 12.0
"""After this time without a fault, flows must be served again."""

EVACUATION_LIMIT_SECONDS = 5.0
"""Time from the acknowledgement of an evacuation until it is in force at every balancer."""
CUTTING_FAULTS = frozenset({"control-kill-all", "balancer-freeze", "power-loss"})
"""Faults during which a balancer can't learn of an order."""
COLD_FLOWS_PER_SECOND = 5
"""Limit with `warmup_per_s` 0 and `warmup_slack` 5."""
REFUSAL_LIMIT_SECONDS = 5.0
"""Openings may fail for so long after a service has a usable upstream again: a returned
upstream counts as cold until calls that were made since then arrive."""


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken guarantee."""

    at: float
    guarantee: str
    detail: str


@dataclass(slots=True)
class GuaranteeChecks:
    """Receives observations in order of time and collects the findings.

    Parameters
    ----------
    services : dict of target to str
        Maps each virtual address to its service.
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
    in_force_at: dict[str, float] = field(default_factory=dict)
    """When the acknowledged evacuation of each data centre must be in force."""
    unusable_at: dict[str, float] = field(default_factory=dict)
    """When a service last had no warm upstream outside the evacuated data centres."""
    cold_openings: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    """Times of the openings that each cold upstream got within the last second."""

    @property
    def is_fault_free(self) -> bool:
        """Whether guarantees with a time bound apply now."""
        return self.now - self.last_fault >= FAULT_GRACE_SECONDS

    def record_fault(self, detail: str) -> None:
        """Record the start or end of a fault."""
        self.last_fault = self.now
        self.counts["faults"] += 1
        if detail in CUTTING_FAULTS:
            limit = self.now + FAULT_GRACE_SECONDS + EVACUATION_LIMIT_SECONDS
            for data_centre in self.in_force_at:
                if not self.is_in_force(data_centre):
                    self.in_force_at[data_centre] = limit

    def is_in_force(self, data_centre: str) -> bool:
        """Whether no balancer may open flows in a data centre, since it is evacuated."""
        return self.now > self.in_force_at.get(data_centre, float("inf"))

    def record(self, kind: str, **values: Any) -> None:
        """Record one observation and run the check for its kind, if any."""
        self.counts[kind] += 1
        check = getattr(self, "_check_" + kind.replace("-", "_"), None)
        if check is not None:
            check(**values)

    def _add_finding(self, guarantee: str, detail: str) -> None:
        self.findings.append(Finding(self.now, guarantee, detail))

    def _check_run(self, upstream: str, request: str, service: str) -> None:
        self.run_counts[request] += 1
        if self.run_counts[request] > 1:
            self._add_finding(
                "at most once", f"{request} ran {self.run_counts[request]} times, last {upstream}"
            )

    def _check_opened(
        self,
        upstream: str,
        service: str,
        target: tuple[str, int],
        data_centre: str = "",
        is_cold: bool = False,
        received_at: float | None = None,
    ) -> None:
        expected = self.services.get(target)
        if expected != service:
            self._add_finding(
                "right service",
                f"flow to {target} of {expected} was opened at {upstream} of {service}",
            )
        at = self.now if received_at is None else received_at
        late = at - self.in_force_at.get(data_centre, float("inf"))
        if late > 0.0:
            detail = f"{upstream} in {data_centre} got a flow {late:.2f} s after the limit"
            self._add_finding("acknowledged evacuation is in force", detail)
        if is_cold:
            self._check_cold_opening(upstream, at)
        acknowledged_at = self.drained_at.get(upstream)
        if acknowledged_at is None or not self.is_fault_free:
            return
        if self.now - max(acknowledged_at, self.last_fault) > DRAIN_LIMIT_SECONDS:
            detail = f"{upstream} got a flow {self.now - acknowledged_at:.1f} s after its drain"
            self._add_finding("no new flows after a drain", detail)

    def _check_cold_opening(self, upstream: str, at: float) -> None:
        recent = [earlier for earlier in self.cold_openings[upstream] if at - earlier < 1.0]
        recent.append(at)
        self.cold_openings[upstream] = recent
        self.counts["cold-openings"] += 1
        if len(recent) > COLD_FLOWS_PER_SECOND:
            detail = f"{upstream} got {len(recent)} flows within a second while it was cold"
            self._add_finding("limit of cold upstreams", detail)

    def _check_evacuation_acknowledged(self, data_centre: str) -> None:
        self.in_force_at[data_centre] = self.now + EVACUATION_LIMIT_SECONDS

    def _check_evacuation_ending(self, data_centre: str) -> None:
        self.in_force_at.pop(data_centre, None)

    def _check_order_unanswered(self, target: str) -> None:
        self._add_finding("accepts orders", f"{target} was never acknowledged")

    def _check_read_evacuations(self, evacuated: list[str], expected: list[str]) -> None:
        if evacuated != expected:
            detail = f"read {evacuated}, {expected} was acknowledged"
            self._add_finding("acknowledged evacuation is kept", detail)

    def _check_answered(
        self, request: str, target: tuple[str, int], body: str, service: str
    ) -> None:
        if body != request:
            self._add_finding("matching response", f"{request} got the response to {body}")
        if service != self.services.get(target):
            self._add_finding("right service", f"{request} to {target} was answered by {service}")

    def _check_reset(self, request: str, target: tuple[str, int], checksum: int) -> None:
        if checksum == 0 and self.is_fault_free and not self._has_recent_upstream_end():
            self._add_finding(
                "no resets of flows", f"a balancer reset the flow of {request} to {target}"
            )

    def _has_recent_upstream_end(self) -> bool:
        """Return whether an upstream has stopped recently, which allows resets of its flows."""
        return any(self.now - at < RECOVERY_LIMIT_SECONDS for at in self.ended_at.values())

    def _check_ended(self, detail: str) -> None:
        self._add_finding("no unexpected exits", detail)

    def _check_drain_acknowledged(self, upstream: str) -> None:
        self.drained_at[upstream] = self.now

    def _check_left(self, upstream: str) -> None:
        self.ended_at[upstream] = self.now

    def _check_opening_after_leave(self, upstream: str) -> None:
        left_at = self.ended_at[upstream]
        if self.is_fault_free and self.now - max(left_at, self.last_fault) > DRAIN_LIMIT_SECONDS:
            detail = f"{upstream} got an opening {self.now - left_at:.1f} s after it had left"
            self._add_finding("left for good", detail)

    def _check_flow_failed(self, target: tuple[str, int], reason: str, port: int) -> None:
        unusable_at = self.unusable_at.get(self.services[target], float("-inf"))
        # Without any other upstream, an opening goes to one that has stopped announcing itself; it
        # isn't answered if that upstream has crashed (seed 1, 4 s).
        is_expected = (
            reason in (REFUSED, NOT_OPENED) and self.now - unusable_at < REFUSAL_LIMIT_SECONDS
        )
        if (
            self.now - self.last_fault > RECOVERY_LIMIT_SECONDS
            and not self._has_recent_upstream_end()
            and not is_expected
        ):
            self._add_finding("serves", f"a flow to {target} failed without a fault: {reason}")

    def _check_put_acknowledged(self, version: int) -> None:
        self.acknowledged_version = max(self.acknowledged_version, version)

    def _check_read(self, version: int, floor: int) -> None:
        if version < floor:
            self._add_finding(
                "acknowledged version is kept", f"read version {version}, {floor} was acknowledged"
            )

    def check_final_state(self, last_read: int | None, served: int, is_accepted: bool) -> None:
        """Check that the acknowledged version is readable, and that all is served again.

        Parameters
        ----------
        last_read : int or None
            Version read at the end; None if no control instance responded.
        served : int
            Requests answered at the end.
        is_accepted : bool
            Whether a change was acknowledged at the end.
        """
        if last_read is None:
            self._add_finding(
                "acknowledged version is kept", "no control instance responded to a read at the end"
            )
        elif last_read < self.acknowledged_version:
            detail = f"read {last_read} at the end, {self.acknowledged_version} was acknowledged"
            self._add_finding("acknowledged version is kept", detail)
        if not is_accepted:
            self._add_finding("accepts changes", "no change was acknowledged at the end")
        if not served:
            self._add_finding("serves", "no request was answered at the end")
