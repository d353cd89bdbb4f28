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
from functools import partial
from pathlib import Path

import trio

from benchmarks.soak.checks import Finding
from benchmarks.soak.cluster import SERVICES, SoakCluster
from benchmarks.soak.plan import Action, Step, make_plan
from benchmarks.soak.processes import RoleProcess
from benchmarks.soak.proxy import ProxyMode

CLIENT_COUNT = 12
SETTLE_SECONDS = 14.0
"""After the last step: longer than a flow may take to be served again."""
START_TIMEOUT_SECONDS = 40.0
"""Limit for the first configuration; processes start slowly beside other work."""

PROXY_MODES = {
    Action.CONTROL_SILENT: ProxyMode.SILENT,
    Action.CONTROL_RESET: ProxyMode.RESET,
    Action.CONTROL_DELAY: ProxyMode.DELAY,
    Action.CONTROL_ONE_WAY: ProxyMode.ONE_WAY,
}


class SoakRun:
    """One run: plan, world and what the steps do."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.seed = seed
        self.plan = make_plan(seed, seconds)
        net = 10 + (os.getpid() + seed) % 200
        self.cluster = SoakCluster(folder, net, random.Random(seed))
        self.checks = self.cluster.checks

    async def run(self) -> list[Finding]:
        """Play the plan and return the findings."""
        try:
            async with trio.open_nursery() as nursery:
                with trio.fail_after(START_TIMEOUT_SECONDS):
                    await self.cluster.start(nursery)
                for number in range(CLIENT_COUNT):
                    nursery.start_soon(self._run_client, number)
                nursery.start_soon(self._read_version_periodically)
                await self._execute_plan(nursery)
                await trio.sleep(SETTLE_SECONDS)
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
        await trio.sleep(longest)

    async def _check_final_state(self) -> None:
        self._update_clock()
        before = self.checks.counts["answered"]
        await trio.sleep(2.0)
        self._update_clock()
        served = self.checks.counts["answered"] - before
        last = None
        for _ in range(10):
            last = last if last is not None else await self.cluster.read_version()
        self.checks.check_final_state(last, served)

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
            await trio.sleep(0.5)

    async def _execute_step(self, step: Step) -> None:
        self._update_clock()
        world, action = self.cluster, step.action
        control = world.controls[step.target % 3]
        balancer = world.balancers[step.target % 4]
        match action:
            case Action.CONTROL_KILL_ALL:
                await self._end_and_restart(step, world.controls, RoleProcess.kill)
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
            case Action.SETTINGS_CHANGE:
                self._change_settings(balancer, control)
            case Action.PACKETS_LOST:
                await self._drop_packets(step)
            case Action.UPSTREAM_DRAIN | Action.UPSTREAM_CRASH:
                await self._replace_upstream(step)
            case Action.CONFIGURATION:
                await world.put_configuration(world.last_version + 1 + step.target % 3)
            case Action.CONFIGURATION_RACE:
                async with trio.open_nursery() as nursery:
                    first = world.last_version + 1
                    nursery.start_soon(world.put_configuration, first)
                    nursery.start_soon(world.put_configuration, first + 1)
            case Action.CONFIGURATION_BAD:
                await world.put_invalid_configuration()
            case _:
                await self._inject_proxy_fault(step)

    async def _inject_proxy_fault(self, step: Step) -> None:
        """Let the connections of one control instance meet a fault."""
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

    async def _end_and_restart(self, step: Step, processes: list[RoleProcess], end: object) -> None:
        self.checks.record_fault(step.action.value)
        for process in processes:
            end(process)  # type: ignore[operator]
        await trio.sleep(step.duration_seconds)
        for process in processes:
            process.settings["bootstrap"] = False
            if not process.is_running:
                process.start()
        self._record_fault_end(step)

    async def _restart_gracefully(self, process: RoleProcess) -> None:
        """Stop a process in order; planned work on a balancer is no fault."""
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
    """Run one seed, print its plan and findings, and return these."""
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    soak = SoakRun(seed, seconds, folder)
    steps = " ".join(f"{step.starts_at}:{step.action.value}/{step.target}" for step in soak.plan)
    print(f"seed {seed}: {steps}", flush=True)
    findings = trio.run(soak.run)
    counts = {
        key: soak.checks.counts[key]
        for key in ("asked", "answered", "faults", "drain-acknowledged")
    }
    print(f"seed {seed}: {len(findings)} findings, {counts}", flush=True)
    for finding in findings[:10]:
        print(f"seed {seed}: {finding.guarantee}: {finding.detail}", flush=True)
    if findings and keep is not None:
        shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    shutil.rmtree(folder)
    return findings


def main() -> int:
    """Run the seeds that the options name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keep", type=Path, help="keep logs of runs with findings here")
    options = parser.parse_args()
    # SIGTERM ends the run like an interrupt, so that every process that was started is ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    run = partial(run_seed, seconds=options.seconds, keep=options.keep)
    failed = [seed for seed in range(options.seed, options.seed + options.runs) if run(seed)]
    print(f"{options.runs} runs, failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
