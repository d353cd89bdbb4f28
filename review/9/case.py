"""Plays the case: a balancer restarts while the evacuation of its zone ends."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import Deployment, Record  # noqa: E402
from traffic_2 import ColdLimits, ColdScene, run_scene  # noqa: E402

BALANCERS = 7
SERVERS = (3, 3)
LIMITS = ColdLimits(warmup_seconds=2.0, warmup_per_second=0.0)
"""As `fleetbench wire` shows them for sfx-farm-grown."""
FLOWS_PER_SECOND = {"zone-b": 300.0}
ROUNDS = 4
EVACUATED_SECONDS = 6.0
RESTART_SECONDS = 0.25
"""Pause of the platform before it restarts a process that was killed."""
COLD_AFTER_SECONDS = 0.1
"""From the order that ends the evacuation to the start of the warm-up."""
CALM_SECONDS = 5.0
IS_DISTURBED = os.environ.get("TROUBLE") != "0"


async def play(record: Record, deployment: Deployment) -> bool:
    """Evacuate a zone and take it back several times; return whether the rule was broken."""
    scene = ColdScene(record, deployment, SERVERS, LIMITS)
    in_zone = [host for host in deployment.balancers if deployment.zones[host] == "zone-b"]
    is_broken = False
    await scene.start(FLOWS_PER_SECOND, CALM_SECONDS)
    try:
        for number in range(ROUNDS):
            await asyncio.sleep(CALM_SECONDS)
            is_broken |= await return_zone(scene, in_zone[number % len(in_zone)])
    finally:
        scene.stop()
    return is_broken


async def return_zone(scene: ColdScene, killed: str) -> bool:
    """Evacuate the zone and take it back; return whether a cold server got too much."""
    process = scene.deployment.processes[killed]
    await scene.order("Start")
    await asyncio.sleep(EVACUATED_SECONDS)
    if IS_DISTURBED:
        scene.record.write(f"balancer at {killed} is killed")
        process.kill()
    ended = asyncio.create_task(scene.order("End"))
    await asyncio.sleep(COLD_AFTER_SECONDS)
    for server in scene.list_cold_servers():
        server.turn_cold()
    await asyncio.sleep(RESTART_SECONDS - COLD_AFTER_SECONDS)
    if IS_DISTURBED:
        process.wait()
        scene.deployment.start(killed)
    await ended
    await asyncio.sleep(CALM_SECONDS)
    return scene.is_any_overloaded()


if __name__ == "__main__":
    sys.exit(run_scene(FOLDER, BALANCERS, LIMITS, play))
