"""Measure requests per second and latency through real processes and on direct connections.

Run with ``python -m benchmarks.requests_path [--requests N] [--callers N]``.
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
    endpoint: Endpoint, requests: list[ExchangeRequest], latencies: list[float], failures: list[str]
) -> None:
    """Send requests sequentially on one connection; append latencies in seconds and failures."""
    connection = await open_http(endpoint, MAX_RESPONSE_BYTES)
    assert isinstance(connection, HttpConnection)
    for request in requests:
        started = time.perf_counter()
        response = await connection.exchange(request)
        latencies.append(time.perf_counter() - started)
        if not isinstance(response, ExchangeResponse) or response.status != 200:
            failures.append(repr(response)[:200])
    await connection.aclose()


async def measure_path(
    name: str, endpoints: list[Endpoint], make_request, callers: int, count: int
):
    """Run concurrent callers, assigned to the endpoints in turn, and report the figures."""
    latencies: list[float] = []
    failures: list[str] = []
    started = time.perf_counter()
    async with trio.open_nursery() as nursery:
        for number in range(callers):
            requests = [make_request() for _ in range(count // callers)]
            endpoint = endpoints[number % len(endpoints)]
            nursery.start_soon(run_caller, endpoint, requests, latencies, failures)
    seconds = time.perf_counter() - started
    percentiles = statistics.quantiles(latencies, n=100)
    report(
        "requests_path",
        path=name,
        callers=callers,
        requests=len(latencies),
        failed=len(failures),
        requests_per_second=round(len(latencies) / seconds, 1),
        p50_ms=round(percentiles[49] * 1000, 2),
        p99_ms=round(percentiles[98] * 1000, 2),
        first_failure=failures[0] if failures else "",
    )


async def measure_deployment(folder: Path, callers: int, count: int) -> None:
    """Start a small deployment and measure direct, idempotent and non-idempotent requests."""
    deployment = scale_down(DEPLOYMENTS["vandermeulen"], 3, 1)
    service = deployment.services[0]
    with Cluster(deployment, folder) as cluster:
        demo = Demo(cluster, 0)
        demo.started_at = trio.current_time()
        cluster.plan_instances()
        for instance in (*cluster.control_instances, *cluster.balancer_instances):
            cluster.start_instance(instance)
        await demo.start_upstreams()
        await demo.submit_patch(demo.make_first_patch(), 0)
        await cluster.wait_until_ready(cluster.balancer_instances)
        await trio.sleep(COLD_START_SECONDS)
        balancers = [instance.endpoint("requests") for instance in cluster.balancer_instances]
        dump = await cluster.fetch_json(cluster.balancer_instances[0].endpoint("admin"), "/dump")
        records = [entry[0] for entry in dump["upstreams"]["records"]]
        upstream_endpoints = [
            Endpoint(*record[5]) for record in records if record[2] == service.service
        ]
        rng = random.Random(1)
        headers = (("host", service.host),)

        def make_read() -> ExchangeRequest:
            return ExchangeRequest("GET", "/status", headers)

        def make_order() -> ExchangeRequest:
            key = f"{deployment.data_centres[0]}.{uuid6.uuid7()}"
            body = rng.randbytes(ORDER_BODY_BYTES)
            return ExchangeRequest("POST", "/orders", (*headers, ("idempotency-key", key)), body)

        await measure_path("direct", upstream_endpoints, make_read, callers, count)
        await measure_path("idempotent", balancers, make_read, callers, count)
        await measure_path("non-idempotent", balancers, make_order, callers, count)


def main() -> None:
    """Parse the arguments and measure in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=600)
    parser.add_argument("--callers", type=int, default=6)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trio.run(measure_deployment, Path(folder), options.callers, options.requests)


if __name__ == "__main__":
    main()
