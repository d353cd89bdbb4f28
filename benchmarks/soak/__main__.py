"""Run the fault soak.

``python -m benchmarks.soak --seed 1 [--runs N] [--seconds S]`` prints each seed, its plan and its
findings, and exits with 1 if there is any finding.
"""

import argparse
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from datetime import UTC, datetime
from functools import partial
from pathlib import Path

import trio

from benchmarks.soak.checks import Finding
from benchmarks.soak.cluster import DATA_CENTRES, SERVICES, SoakCluster
from benchmarks.soak.plan import Action, Step, make_features, make_plan
from benchmarks.soak.processes import RoleProcess
from benchmarks.soak.proxy import ProxyMode

CLIENT_COUNT = 12
SETTLE_SECONDS = 14.0
"""Fault-free time after the last step; longer than the recovery limit of a flow."""
START_TIMEOUT_SECONDS = 40.0
"""Limit for the first configuration; processes start slowly on a loaded machine."""
STRETCH = 3.0
"""Factor of the durations of evacuations and hanging upstreams, which last longer than faults."""
RETURN_SECONDS = 10.0
"""Time after the end of the last evacuation for the upstreams to warm up and to be used again."""
WATCH_INTERVAL_SECONDS = 0.05

PROXY_MODES = {
    Action.CONTROL_SILENT: ProxyMode.SILENT,
    Action.CONTROL_RESET: ProxyMode.RESET,
    Action.CONTROL_DELAY: ProxyMode.DELAY,
    Action.CONTROL_ONE_WAY: ProxyMode.ONE_WAY,
}


class SoakRun:
    """One run: the plan, the cluster and the execution of each step."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.seed = seed
        self.plan = make_plan(seed, seconds)
        network_number = 10 + (os.getpid() + seed) % 200
        self.features = make_features(seed)
        self.rng = random.Random(f"operator of {seed}")
        self.cluster = SoakCluster(
            folder, network_number, random.Random(seed), self.features, self.rng
        )
        self.checks = self.cluster.checks
        self.clock_offset = 0.0
        """Seconds from the clock of trio to the time of day, which the logs have."""
        self.longest_pause_seconds = 0.0
        """Longest pause of this process; it makes openings seem to arrive at once."""

    async def run(self) -> list[Finding]:
        """Execute the plan and return the findings."""
        self.clock_offset = time.time() - trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                with trio.fail_after(START_TIMEOUT_SECONDS):
                    await self.cluster.start(nursery)
                for number in range(CLIENT_COUNT):
                    nursery.start_soon(self._run_client, number)
                nursery.start_soon(self._read_version_periodically)
                nursery.start_soon(self._watch_services)
                await self._execute_plan(nursery)
                await trio.sleep(SETTLE_SECONDS)
                # Before the power loss, which could repair what the plan has left behind.
                await self._check_final_state()
                await self._lose_power_during_evacuation()
                await self._check_final_state()
                nursery.cancel_scope.cancel()
        finally:
            self.cluster.stop()
        return self.checks.findings

    async def _execute_plan(self, nursery: trio.Nursery) -> None:
        start = trio.current_time()
        for step in self.plan:
            await trio.sleep_until(start + step.starts_at)
            nursery.start_soon(self._execute_step, step)
        longest = max((step.duration_seconds for step in self.plan), default=0.0)
        await trio.sleep(max(len(self.cluster.controls), STRETCH) * longest)
        evacuations = self.cluster.evacuations
        while evacuations.ordered and not self.checks.counts["order-unanswered"]:
            await trio.sleep(0.1)

    async def _lose_power_during_evacuation(self) -> None:
        """Kill all processes after the acknowledgement of an evacuation, and end it later."""
        cluster = self.cluster
        data_centre = self.rng.choice(DATA_CENTRES)
        await cluster.evacuations.start(data_centre)
        await trio.sleep(self.rng.uniform(0.0, 6.0))
        self._update_clock()
        self.checks.record_fault("power-loss")
        processes = [*cluster.controls, *cluster.balancers]
        for process in processes:
            process.kill()
        await trio.sleep(1.0)
        for process in processes:
            process.settings["bootstrap"] = False
            # Seven starts in this thread would stop the stand-ins for seconds on a busy machine.
            await trio.to_thread.run_sync(process.start)
        self._update_clock()
        self.checks.record_fault("power-loss")
        await trio.sleep(SETTLE_SECONDS)
        await self._check_evacuations()
        cluster.evacuations.cool_upstreams(data_centre)
        await cluster.evacuations.end(data_centre)
        await trio.sleep(RETURN_SECONDS)
        await self._check_evacuations()

    async def _check_evacuations(self) -> None:
        for _ in range(10):
            self._update_clock()
            if await self.cluster.evacuations.read():
                return
        self.checks.record("order-unanswered", target="a read of the evacuations at the end")

    async def _check_final_state(self) -> None:
        self._update_clock()
        answered_before = self.checks.counts["answered"]
        await trio.sleep(2.0)
        self._update_clock()
        served = self.checks.counts["answered"] - answered_before
        is_accepted = await self.cluster.put_configuration(self.cluster.last_version + 1)
        last_version = None
        for _ in range(10):
            last_version = (
                last_version if last_version is not None else await self.cluster.read_version()
            )
        self.checks.check_final_state(last_version, served, is_accepted)

    def _update_clock(self) -> None:
        self.checks.now = trio.current_time()

    async def _run_client(self, number: int) -> None:
        client = self.cluster.make_client(number)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.receive)
            targets = list(self.cluster.virtual_addresses)
            while True:
                self._update_clock()
                requests = client.rng.choice((1, 1, 5, 30))
                await client.run_flow(client.rng.choice(targets), requests, 0.1)
                await trio.sleep(client.rng.uniform(0.0, 0.1))

    async def _read_version_periodically(self) -> None:
        while True:
            self._update_clock()
            await self.cluster.read_version()
            await self.cluster.evacuations.read()
            await trio.sleep(0.5)

    async def _watch_services(self) -> None:
        """Record when a service has no upstream that may get flows without a limit."""
        while True:
            woken_at = trio.current_time()
            self._update_clock()
            for service in SERVICES:
                if not self.cluster.has_usable_upstream(service):
                    self.checks.unusable_at[service] = woken_at
            await trio.sleep(WATCH_INTERVAL_SECONDS)
            pause = trio.current_time() - woken_at - WATCH_INTERVAL_SECONDS
            self.longest_pause_seconds = max(self.longest_pause_seconds, pause)

    async def _execute_step(self, step: Step) -> None:
        self._update_clock()
        cluster, action = self.cluster, step.action
        control = cluster.controls[step.target % 3]
        balancer = cluster.balancers[step.target % 4]
        match action:
            case Action.CONTROL_KILL_ALL:
                await self._end_and_restart(step, cluster.controls, RoleProcess.kill)
            case Action.CONTROL_KILL:
                await self._end_and_restart(step, [control], RoleProcess.kill)
            case Action.CONTROL_WIPE:
                await self._end_and_restart(step, [control], RoleProcess.kill_and_wipe_disk)
            case Action.BALANCER_KILL:
                await self._end_and_restart(step, [balancer], RoleProcess.kill)
            case Action.CONTROL_TERM:
                await self._restart_gracefully(control)
            case Action.BALANCER_TERM:
                await self._restart_gracefully(balancer)
            case Action.CONTROL_FREEZE:
                await self._freeze_process(step, control)
            case Action.BALANCER_FREEZE:
                await self._freeze_process(step, balancer)
            case Action.CONTROL_DISK_FULL:
                await self._fill_disk(step, control)
            case Action.DISKS_FULL_IN_TURN:
                for process in cluster.controls:
                    await self._fill_disk(step, process)
            case Action.GARBAGE:
                await cluster.send_garbage(step.target)
            case Action.SETTINGS_CHANGE:
                self._change_settings(balancer, control)
            case Action.PACKETS_LOST:
                await self._drop_packets(step)
            case Action.UPSTREAM_DRAIN | Action.UPSTREAM_CRASH:
                await self._replace_upstream(step)
            case Action.EVACUATION:
                data_centre = DATA_CENTRES[step.target % 3]
                seconds = STRETCH * step.duration_seconds
                await cluster.evacuations.evacuate(data_centre, seconds)
            case Action.UPSTREAM_HANG:
                await self._hang_upstream(step)
            case Action.CONFIGURATION:
                await cluster.put_configuration(cluster.last_version + 1 + step.target % 3)
            case Action.CONFIGURATION_RACE:
                async with trio.open_nursery() as nursery:
                    first = cluster.last_version + 1
                    nursery.start_soon(cluster.put_configuration, first)
                    nursery.start_soon(cluster.put_configuration, first + 1)
            case Action.CONFIGURATION_BAD:
                await cluster.put_invalid_configuration()
            case _:
                await self._inject_proxy_fault(step)

    async def _inject_proxy_fault(self, step: Step) -> None:
        """Apply a proxy fault to the connections of one control instance."""
        number = step.target % 3
        proxies = self.cluster.proxies[2 * number : 2 * number + 2]
        self.checks.record_fault(step.action.value)
        for proxy in proxies:
            proxy.set_mode(PROXY_MODES[step.action])
        await trio.sleep(step.duration_seconds)
        for proxy in proxies:
            proxy.set_mode(ProxyMode.PASS)
        self._record_fault_end(step)

    def _record_fault_end(self, step: Step) -> None:
        self._update_clock()
        self.checks.record_fault(step.action.value)

    async def _end_and_restart(
        self, step: Step, processes: list[RoleProcess], end_process: object
    ) -> None:
        self.checks.record_fault(step.action.value)
        for process in processes:
            end_process(process)  # type: ignore[operator]
        await trio.sleep(step.duration_seconds)
        for process in processes:
            process.settings["bootstrap"] = False
            if not process.is_running:
                process.start()
        self._record_fault_end(step)

    async def _restart_gracefully(self, process: RoleProcess) -> None:
        """Restart a process with SIGTERM; for a balancer this is maintenance and no fault."""
        if process.role == "control":
            self.checks.record_fault("stop")
        process.should_run = False
        process.send_signal(signal.SIGTERM)
        while process.is_running:
            await trio.sleep(0.05)
        process.settings["bootstrap"] = False
        process.start()
        if process.role == "control":
            self._update_clock()
            self.checks.record_fault("start")

    async def _freeze_process(self, step: Step, process: RoleProcess) -> None:
        self.checks.record_fault(step.action.value)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(step.duration_seconds)
        process.send_signal(signal.SIGCONT)
        self._record_fault_end(step)

    async def _fill_disk(self, step: Step, process: RoleProcess) -> None:
        self.checks.record_fault(step.action.value)
        process.set_disk_full(True)
        await trio.sleep(step.duration_seconds)
        process.set_disk_full(False)
        self._record_fault_end(step)

    def _change_settings(self, *processes: RoleProcess) -> None:
        for process in processes:
            process.settings["seeds"].reverse()
            process.write_settings()
            process.send_signal(signal.SIGHUP)

    async def _drop_packets(self, step: Step) -> None:
        self.checks.record_fault(step.action.value)
        self.cluster.packet_loss = 0.05
        await trio.sleep(step.duration_seconds)
        self.cluster.packet_loss = 0.0
        self._record_fault_end(step)

    async def _hang_upstream(self, step: Step) -> None:
        live = self.cluster.live_upstreams()
        upstream = live[step.target % len(live)]
        self.checks.record_fault(step.action.value)
        upstream.hangs_until = trio.current_time() + STRETCH * step.duration_seconds
        await trio.sleep_until(upstream.hangs_until)
        self._record_fault_end(step)

    async def _replace_upstream(self, step: Step) -> None:
        service = SERVICES[step.target % 2]
        live = [item for item in self.cluster.live_upstreams() if item.service == service]
        leaving = live[step.target % len(live)]
        self.cluster.start_upstream(service, step.target)
        await trio.sleep(1.0)
        self._update_clock()
        if step.action is Action.UPSTREAM_DRAIN:
            await leaving.drain(3.5)
            return
        self.checks.record_fault(step.action.value)
        leaving.scope.cancel()
        self.checks.ended_at[leaving.name] = self.checks.now


def run_seed(seed: int, seconds: float, keep: Path | None) -> list[Finding]:
    """Run one seed, print its plan and findings, and return the findings."""
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    soak = SoakRun(seed, seconds, folder)
    steps = " ".join(f"{step.starts_at}:{step.action.value}/{step.target}" for step in soak.plan)
    print(f"seed {seed}: {soak.features} {steps}", flush=True)
    findings = trio.run(soak.run)
    counts = {
        key: soak.checks.counts[key]
        for key in (
            "asked",
            "answered",
            "faults",
            "drain-acknowledged",
            "evacuation-acknowledged",
            "read-evacuations",
            "cold-openings",
        )
    }
    pause = f"longest pause of the bench {soak.longest_pause_seconds:.2f} s"
    print(f"seed {seed}: {len(findings)} findings, {counts}, {pause}", flush=True)
    for finding in findings[:10]:
        at = datetime.fromtimestamp(finding.at + soak.clock_offset, UTC).time()
        print(f"seed {seed}: {at} {finding.guarantee}: {finding.detail}", flush=True)
    if findings and keep is not None:
        shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder)
    return findings


def main() -> int:
    """Run the seeds given by the options; return 1 if there is any finding."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keep", type=Path, help="folder for the logs of runs with findings")
    options = parser.parse_args()
    # SIGTERM raises KeyboardInterrupt, so that the child processes are stopped as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    run = partial(run_seed, seconds=options.seconds, keep=options.keep)
    failed = [seed for seed in range(options.seed, options.seed + options.runs) if run(seed)]
    print(f"{options.runs} runs, failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
