"""Requests a second and latency through real processes, beside a direct connection.

``python -m benchmarks.requests_path [--requests N] [--callers N]``
"""

import argparse
import random
import statistics
import tempfile
import time
from pathlib import Path

import trio
import uuid6

from benchmarks.demo import COLD_START_SECONDS, Demo
from benchmarks.reporting import report
from benchmarks.standins.cluster import Cluster
from benchmarks.standins.deployments import DEPLOYMENTS, scale_down
from chicorypost.base import Endpoint
from chicorypost.transport import (
    ExchangeRequest,
    ExchangeResponse,
    HttpConnection,
    open_http,
)

ORDER_BODY_BYTES = 200
MAX_RESPONSE_BYTES = 100_000


async def run_caller(
    endpoint: Endpoint, requests: list[ExchangeRequest], latencies: list[float], failed: list[str]
) -> None:
    """Send requests one after the other on one connection."""
    connection = await open_http(endpoint, MAX_RESPONSE_BYTES)
    assert isinstance(connection, HttpConnection)
    for request in requests:
        started = time.perf_counter()
        answer = await connection.exchange(request)
        latencies.append(time.perf_counter() - started)
        if not isinstance(answer, ExchangeResponse) or answer.status != 200:
            failed.append(repr(answer)[:200])
    await connection.aclose()


async def measure_path(
    name: str, endpoints: list[Endpoint], make_request, callers: int, count: int
):
    """Run callers over endpoints in turn and report."""
    latencies: list[float] = []
    failed: list[str] = []
    started = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            requests = [make_request() for _ in range(count // callers)]
            endpoint = endpoints[number % len(endpoints)]
            nursery.start_soon(run_caller, endpoint, requests, latencies, failed)
    seconds = time.perf_counter() - started
    cuts = statistics.quantiles(latencies, n=100)
    report(
        "requests_path",
        path=name,
        callers=callers,
        requests=len(latencies),
        failed=len(failed),
        requests_per_second=round(len(latencies) / seconds, 1),
        p50_ms=round(cuts[49] * 1000, 2),
        p99_ms=round(cuts[98] * 1000, 2),
        first_failure=failed[0] if failed else "",
    )


async def measure_deployment(folder: Path, callers: int, count: int) -> None:
    """Start a small deployment and measure three paths."""
    shape = scale_down(DEPLOYMENTS["vandermeulen"], 3, 1)
    service = shape.services[0]
    with Cluster(shape, folder) as cluster:
        demo = Demo(cluster, 0)
        demo.started_at = trio.current_time()
        cluster.plan_instances()
        for instance in (*cluster.control_instances, *cluster.balancer_instances):
            cluster.start_instance(instance)
        await demo.start_upstreams()
        await demo.submit_patch(demo.make_first_patch(), 0)
        await cluster.wait_until_ready(cluster.balancer_instances)
        await trio.sleep(COLD_START_SECONDS)
        balancers = [item.endpoint("requests") for item in cluster.balancer_instances]
        dump = await cluster.fetch_json(cluster.balancer_instances[0].endpoint("admin"), "/dump")
        records = [record[0] for record in dump["upstreams"]["records"]]
        direct = [Endpoint(*item[5]) for item in records if item[2] == service.service]
        source = random.Random(1)
        headers = (("host", service.host),)

        def read() -> ExchangeRequest:
            return ExchangeRequest("GET", "/status", headers)

        def order() -> ExchangeRequest:
            key = f"{shape.data_centres[0]}.{uuid6.uuid7()}"
            body = source.randbytes(ORDER_BODY_BYTES)
            return ExchangeRequest("POST", "/orders", (*headers, ("idempotency-key", key)), body)

        await measure_path("direct", direct, read, callers, count)
        await measure_path("idempotent", balancers, read, callers, count)
        await measure_path("non-idempotent", balancers, order, callers, count)


def main() -> None:
    """Parse arguments and run in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=600)
    parser.add_argument("--callers", type=int, default=6)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trio.run(measure_deployment, Path(folder), options.callers, options.requests)


if __name__ == "__main__":
    main()
