"""Outcomes of orders under single failures, retry amplification, cost of ownership.

Runs the request machines over a network in memory; figures are counts and bytes, not wall time.
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
    """Report the last outcome that the caller of one order heard, per kind of crash."""
    for role in ROLES:
        heard: Counter[str] = Counter()
        runs: Counter[int] = Counter()
        for case in single_crash_cases():
            if case[1] == role:
                world, told = run_order(case)
                heard[told[-1]] += 1
                runs[sum(world.runs.values())] += 1
        cases = sum(heard.values())
        share = heard["outcome-unknown"] / cases
        report(
            "requests_outcomes",
            crash=role,
            cases=cases,
            unknown_share=round(share, 3),
            outcomes=dict(heard),
            most_runs=max(runs),
        )


def measure_orders_without_owner() -> None:
    """Report how often an order runs twice if each balancer decides by itself."""
    base, _, roles, _ = make_base_simulation()
    twice = 0
    for steps in range(1, RESEND_POINTS + 1):
        world = copy.deepcopy(base)
        # Without an owner the two copies of an order share nothing: neither has a key.
        first = world.call(roles["entry"], None, target="/status", method="GET")
        for _ in range(steps):
            if world.pending:
                world.step()
        if first.outcome is None:
            world.call(roles["runner"], None, target="/status", method="GET")
        world.sleep(1.0)
        twice += sum(world.runs.values()) > 1
    report("requests_without_owner", resend_points=RESEND_POINTS, ran_twice=twice)


def measure_retry_amplification(budget: float | None) -> None:
    """Report attempts per request while a share of the attempts fails."""
    lone = IsolatedEntry()
    random = Random(4)
    attempts = 0
    for _ in range(REQUEST_COUNT):
        if budget is None:
            lone.service.entry.budget.tokens[ORDERS] = 1e9
        _, attempt = lone.request()
        while attempt is not None:
            attempts += 1
            failed = random.random() < FAILING_SHARE
            answer = (
                (DispatchOutcome.UNKNOWN, None)
                if failed
                else (DispatchOutcome.RESPONDED, COMPLETE_RESPONSE)
            )
            attempt = lone.find_dispatch(lone.reply(attempt, *answer))
    report(
        "requests_amplification",
        budget=budget,
        failing_share=FAILING_SHARE,
        attempts_per_request=round(attempts / REQUEST_COUNT, 3),
    )


def measure_message_cost() -> None:
    """Report messages and bytes of one order and of one idempotent request."""
    base, key, roles, _ = make_base_simulation()
    for kind in ("order", "idempotent"):
        world = copy.deepcopy(base)
        before = len(world.sent)
        if kind == "order":
            world.call(roles["entry"], key)
        else:
            world.call(roles["entry"], None, target="/status", method="GET")
        world.settle()
        between = [data for sender, to, data in world.sent[before:] if sender != to]
        names = Counter(type(decode(data)).__name__ for data in between)
        report(
            "requests_messages",
            kind=kind,
            messages=len(between),
            bytes=sum(map(len, between)),
            types=dict(names),
        )


def measure_record_cost() -> None:
    """Report memory and bytes on the wire per record, by slope."""
    sizes = []
    for count in RECORD_COUNTS:
        tracemalloc.start()
        table = RecordTable()
        random = Random(count)
        wire = 0
        for number in range(count):
            key = make_key(DATA_CENTRE, WallTime(START_WALL + number), random)
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
            wire += len(encode(RecordUpdate(Epoch(8), 1, record)))
            table.put_record(record, Instant(0.0))
        sizes.append((tracemalloc.get_traced_memory()[0], wire))
        tracemalloc.stop()
    span = RECORD_COUNTS[-1] - RECORD_COUNTS[0]
    report(
        "requests_record_slope",
        answer_bytes=RESPONSE_BYTES,
        memory_per_record=round((sizes[-1][0] - sizes[0][0]) / span),
        wire_per_record=round((sizes[-1][1] - sizes[0][1]) / span),
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
