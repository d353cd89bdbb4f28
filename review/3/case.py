"""A late leave call takes the next run of the same backend out of use and cuts its flows."""

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Backend,
    Client,
    Deployment,
    Link,
    Record,
    is_trouble,
    make_configuration,
    run_case,
)

PORT = 443
NAMES = ("i-7f3a91c2", "i-7f3a91c3", "i-7f3a91c4")
CLIENTS = 6
FLOW_PAUSE_SECONDS = 0.5
REQUEST_PAUSE_SECONDS = 0.25
REQUESTS_PER_FLOW = 40
DRAIN_SECONDS = 3.0
"""`drain_ms`."""
CUT_SECONDS = 7.0
"""Length of the cut; the longest `node_cut` of the site takes 10 s."""
LEAVE_SECONDS = 0.3
"""When the backend leaves, after the cut has begun; less than the interval of its heartbeats."""
RESTART_SECONDS = 1.0
WINDOW_SECONDS = 4.0
"""`stable_window_ms`."""
AFTER_SECONDS = 15.0


class Case:
    """The processes of the case, and what is seen of them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record)
        self.host = self.deployment.address(9, 0)
        self.link = Link(self.deployment, record)
        self.clients = [Client(self.deployment, number) for number in range(CLIENTS)]
        self.running: dict[str, asyncio.Task[None]] = {}
        """Tasks of the backends that live, by name and start."""
        self.disrupted_at = float("-inf")
        """Latest time at which the link of the first backend was cut or joined."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.answered = 0
        self.broken = 0

    def start_backend(self, number: int) -> Backend:
        """Start one run of a backend; the first one reaches the system over the link."""
        link = self.link if number == 0 else None
        backend = Backend(
            self.deployment, NAMES[number], "orders", number, lambda b, p, r: None, link
        )
        self.running[f"{backend.name} {backend.born}"] = asyncio.create_task(backend.run())
        self.record.write(f"{backend.name} starts, born {backend.born}")
        return backend

    async def end_backend(self, backend: Backend) -> None:
        """End one run of a backend."""
        self.record.write(f"{backend.name}, born {backend.born}, exits")
        task = self.running.pop(f"{backend.name} {backend.born}")
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    def start_task(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        """Start a task that ends with the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_client(self, client: Client) -> None:
        """Open a flow at regular times."""
        while True:
            self.start_task(self.run_flow(client))
            await asyncio.sleep(FLOW_PAUSE_SECONDS)

    async def run_flow(self, client: Client) -> None:
        """Send requests over one flow, and check how it ends."""
        run = ""
        flow = client.run_flow((self.host, PORT), REQUESTS_PER_FLOW, REQUEST_PAUSE_SECONDS)
        async for name, outcome, body in flow:
            if outcome == "answered":
                self.answered += 1
                run = " ".join(body.split()[2:])
                continue
            self.record.write(f"request {name} of a flow at {run or 'no backend'}: {outcome}")
            is_calm = time.monotonic() - self.disrupted_at >= WINDOW_SECONDS
            if outcome == "reset by the system" and run in self.running and is_calm:
                self.broken += 1
                self.record.write(f"FLOW broken: {run} lives and is not disrupted")

    async def restart_first_backend(self, backend: Backend) -> None:
        """Restart a backend as planned; with trouble, its link is cut as it leaves."""
        backend.state = "draining"
        self.record.write(f"{backend.name} drains: {await backend.announce()}")
        await asyncio.sleep(DRAIN_SECONDS)
        backend.is_leaving = True
        while backend.is_announcing:
            await asyncio.sleep(0.01)
        cut_at = time.monotonic()
        if is_trouble():
            self.link.cut()
        await asyncio.sleep(LEAVE_SECONDS)
        self.record.write(f"{backend.name} sends its leave call")
        status = await backend.leave()
        self.record.write(f"{backend.name} has left: {status or 'no acknowledgement'}")
        await self.end_backend(backend)
        await asyncio.sleep(RESTART_SECONDS)
        self.start_backend(0)
        await asyncio.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
        if is_trouble():
            self.link.heal()
            self.disrupted_at = time.monotonic()

    async def run(self) -> int:
        """Play the case and return its exit status."""
        self.deployment.start()
        await self.link.start()
        self.start_task(self.deployment.probe_balancers())
        backends = [self.start_backend(number) for number in range(len(NAMES))]
        body = json.dumps(make_configuration(7, {(self.host, PORT): "orders"})).encode()
        if await self.deployment.put(body, "version 7", 30.0) != 200:
            return EXIT_NOT_RUN
        while len(self.deployment.ready_balancers()) < len(self.deployment.balancers):
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        for client in self.clients:
            client.start()
            self.start_task(self.run_client(client))
        await asyncio.sleep(4.0)
        if not self.answered or self.broken:
            return EXIT_NOT_RUN
        await self.restart_first_backend(backends[0])
        await asyncio.sleep(AFTER_SECONDS)
        self.record.write(f"answered: {self.answered}, flows broken: {self.broken}")
        return EXIT_BROKEN if self.broken else EXIT_HELD

    async def stop(self) -> None:
        """End everything that was started."""
        tasks = [*self.tasks, *self.running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for client in self.clients:
            client.close()
        await self.link.stop()
        self.deployment.stop()


async def main(record: Record) -> int:
    """Play the case and return its exit status."""
    case = Case(record)
    try:
        return await case.run()
    finally:
        await case.stop()


if __name__ == "__main__":
    run_case(main, FOLDER)
