"""Measure order outcomes under single crashes, retry amplification and the cost of ownership.

The state machines of requests run over an in-memory network; figures are counts and bytes, not
wall time.

Run with ``python -m benchmarks.requests_outcomes``.
"""

import copy
import tracemalloc
from collections import Counter
from random import Random

from benchmarks.reporting import report
from chicorypost.base import (
    AttemptId,
    Epoch,
    Incarnation,
    InstanceId,
    Instant,
    WallTime,
    decode,
    encode,
)
from chicorypost.requests import make_key
from chicorypost.requests._messages import KeyRecord, RecordState, RecordUpdate
from chicorypost.requests._table import RecordTable
from chicorypost.requests.tests._simulation import DATA_CENTRE, ORDERS, START_WALL
from chicorypost.requests.tests.test_correlation import COMPLETE_RESPONSE, IsolatedEntry
from chicorypost.requests.tests.test_crash_points import (
    ROLES,
    make_base_simulation,
    run_order,
    single_crash_cases,
)
from chicorypost.upstreams import DispatchOutcome, HttpResponse

RECORD_COUNTS = (1_000, 4_000, 16_000)
RESPONSE_BYTES = 200
FAILING_SHARE = 0.5
REQUEST_COUNT = 2_000
RESEND_POINTS = 40
RETENTION_MS = 86_407_000


def measure_outcomes() -> None:
    """Report the last outcome that the caller of an order received, by crashed role."""
    for role in ROLES:
        outcome_counts: Counter[str] = Counter()
        run_counts: Counter[int] = Counter()
        for case in single_crash_cases():
            if case[1] == role:
                simulation, outcomes = run_order(case)
                outcome_counts[outcomes[-1]] += 1
                run_counts[sum(simulation.runs.values())] += 1
        cases = sum(outcome_counts.values())
        unknown_share = outcome_counts["outcome-unknown"] / cases
        report(
            "requests_outcomes",
            crash=role,
            cases=cases,
            unknown_share=round(unknown_share, 3),
            outcomes=dict(outcome_counts),
            most_runs=max(run_counts),
        )


def measure_orders_without_owner() -> None:
    """Report how often an order runs twice if no owner coordinates the balancers."""
    base, _, roles, _ = make_base_simulation()
    duplicate_count = 0
    for steps in range(1, RESEND_POINTS + 1):
        simulation = copy.deepcopy(base)
        # Requests without a key have no owner, so the two copies share no state.
        first_call = simulation.call(roles["entry"], None, target="/status", method="GET")
        for _ in range(steps):
            if simulation.pending:
                simulation.step()
        if first_call.outcome is None:
            simulation.call(roles["runner"], None, target="/status", method="GET")
        simulation.sleep(1.0)
        duplicate_count += sum(simulation.runs.values()) > 1
    report("requests_without_owner", resend_points=RESEND_POINTS, ran_twice=duplicate_count)


def measure_retry_amplification(budget: float | None) -> None:
    """Report attempts per request while a share of attempts fails; None disables the budget."""
    isolated_entry = IsolatedEntry()
    rng = Random(4)
    attempts = 0
    for _ in range(REQUEST_COUNT):
        if budget is None:
            isolated_entry.service.entry.budget.tokens[ORDERS] = 1e9
        _, attempt = isolated_entry.request()
        while attempt is not None:
            attempts += 1
            failed = rng.random() < FAILING_SHARE
            outcome_and_response = (
                (DispatchOutcome.UNKNOWN, None)
                if failed
                else (DispatchOutcome.RESPONDED, COMPLETE_RESPONSE)
            )
            attempt = isolated_entry.find_dispatch(
                isolated_entry.reply(attempt, *outcome_and_response)
            )
    report(
        "requests_amplification",
        budget=budget,
        failing_share=FAILING_SHARE,
        attempts_per_request=round(attempts / REQUEST_COUNT, 3),
    )


def measure_message_cost() -> None:
    """Report messages and bytes between instances for an order and an idempotent request."""
    base, key, roles, _ = make_base_simulation()
    for kind in ("order", "idempotent"):
        simulation = copy.deepcopy(base)
        sent_before = len(simulation.sent)
        if kind == "order":
            simulation.call(roles["entry"], key)
        else:
            simulation.call(roles["entry"], None, target="/status", method="GET")
        simulation.settle()
        sent_data = [data for sender, to, data in simulation.sent[sent_before:] if sender != to]
        type_counts = Counter(type(decode(data)).__name__ for data in sent_data)
        report(
            "requests_messages",
            kind=kind,
            messages=len(sent_data),
            bytes=sum(map(len, sent_data)),
            types=dict(type_counts),
        )


def measure_record_cost() -> None:
    """Report memory and wire bytes per record, as slopes over the number of records."""
    sizes = []
    for count in RECORD_COUNTS:
        tracemalloc.start()
        table = RecordTable()
        rng = Random(count)
        wire_bytes = 0
        for number in range(count):
            key = make_key(DATA_CENTRE, WallTime(START_WALL + number), rng)
            response = HttpResponse(200, (("content-type", "text/plain"),), bytes(RESPONSE_BYTES))
            record = KeyRecord(
                ORDERS,
                key,
                number,
                (8, number),
                RecordState.DONE,
                AttemptId(f"a/1/{number}"),
                InstanceId("b"),
                Incarnation(1),
                response,
                RETENTION_MS,
            )
            wire_bytes += len(encode(RecordUpdate(Epoch(8), 1, record)))
            table.put_record(record, Instant(0.0))
        sizes.append((tracemalloc.get_traced_memory()[0], wire_bytes))
        tracemalloc.stop()
    record_span = RECORD_COUNTS[-1] - RECORD_COUNTS[0]
    report(
        "requests_record_slope",
        answer_bytes=RESPONSE_BYTES,
        memory_per_record=round((sizes[-1][0] - sizes[0][0]) / record_span),
        wire_per_record=round((sizes[-1][1] - sizes[0][1]) / record_span),
    )


def main() -> None:
    """Run every measurement."""
    measure_outcomes()
    measure_orders_without_owner()
    measure_retry_amplification(0.1)
    measure_retry_amplification(None)
    measure_message_cost()
    measure_record_cost()


if __name__ == "__main__":
    main()
