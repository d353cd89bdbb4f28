"""Processor time, memory and control bytes of real, idle processes, by number of balancers.

``python -m benchmarks.process_costs [--balancers N ...] [--deployment NAME]``
"""

import argparse
import statistics
import tempfile
from pathlib import Path

import psutil
import trio

from benchmarks.demo import Demo
from benchmarks.reporting import report
from benchmarks.standins.cluster import Cluster, Instance
from benchmarks.standins.deployments import DEPLOYMENTS, scale_down
from chicorypost.transport import ExchangeRequest, ExchangeResponse, exchange_once

SETTLE_SECONDS = 15.0
SAMPLE_SECONDS = 10.0
SENT_METRIC = "chicorypost_peer_bytes_sent "


async def read_sent_bytes(instance: Instance) -> float:
    """Return the number of bytes that a balancer has sent to other instances."""
    request = ExchangeRequest("GET", "/metrics")
    response = await exchange_once(instance.endpoint("admin"), request, 1_000_000)
    assert isinstance(response, ExchangeResponse)
    lines = response.body.decode().splitlines()
    return float(next(line for line in lines if line.startswith(SENT_METRIC)).split()[1])


async def sample_processes(cluster: Cluster, instances: list[Instance]) -> dict[str, float]:
    """Return processor share, memory and sent bytes of some processes over `SAMPLE_SECONDS`."""
    processes = [psutil.Process(cluster.children[item.id].process.pid) for item in instances]
    has_sent_metric = "packets" in instances[0].ports
    sent_before = [await read_sent_bytes(item) if has_sent_metric else 0.0 for item in instances]
    cpu_before = [sum(process.cpu_times()[:2]) for process in processes]
    await trio.sleep(SAMPLE_SECONDS)
    shares = [
        100 * (sum(process.cpu_times()[:2]) - before) / SAMPLE_SECONDS
        for process, before in zip(processes, cpu_before, strict=True)
    ]
    memory = [process.memory_info().rss / 1e6 for process in processes]
    rates = [
        ((await read_sent_bytes(item) if has_sent_metric else 0.0) - before) / SAMPLE_SECONDS
        for item, before in zip(instances, sent_before, strict=True)
    ]
    return {
        "core_percent_mean": round(statistics.mean(shares), 2),
        "core_percent_max": round(max(shares), 2),
        "megabytes_max": round(max(memory), 1),
        "sent_bytes_per_second_mean": round(statistics.mean(rates)),
        "sent_bytes_per_second_max": round(max(rates)),
    }


async def measure(deployment: str, balancers: int, folder: Path) -> None:
    """Start a deployment, wait until it settles and report the costs of its processes."""
    full_shape = DEPLOYMENTS[deployment]
    shape = scale_down(full_shape, balancers, len(full_shape.data_centres))
    with Cluster(shape, folder) as cluster:
        demo = Demo(cluster, 0)
        demo.started_at = trio.current_time()
        cluster.plan_instances()
        for instance in (*cluster.control_instances, *cluster.balancer_instances):
            cluster.start_instance(instance)
        await demo.start_upstreams()
        await demo.submit_patch(demo.make_first_patch(), 0)
        await cluster.wait_until_ready(cluster.balancer_instances)
        await trio.sleep(SETTLE_SECONDS)
        for role, instances in (
            ("balancer", cluster.balancer_instances),
            ("control", cluster.control_instances),
        ):
            figures = await sample_processes(cluster, instances)
            report("process_costs", role=role, balancers=balancers, **figures)


def main() -> None:
    """Measure each number of balancers in a temporary folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="vandermeulen")
    parser.add_argument("--balancers", type=int, nargs="+", default=[6, 12, 21])
    options = parser.parse_args()
    for balancers in options.balancers:
        with tempfile.TemporaryDirectory() as folder:
            trio.run(measure, options.deployment, balancers, Path(folder))


if __name__ == "__main__":
    main()
