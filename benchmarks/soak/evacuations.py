"""The operator who orders evacuations and repeats an order until its answer arrives."""

import json
import random
from typing import TYPE_CHECKING

import trio

from benchmarks.soak.checks import GuaranteeChecks
from chicorypost.platform import EVACUATIONS_TARGET, make_evacuation_target

if TYPE_CHECKING:
    from benchmarks.soak.cluster import SoakCluster

LOST_ANSWERS_SHARE = 0.25
"""Share of the answers that the operator ignores, as if they were lost."""
ORDER_TIMEOUT_SECONDS = 30.0
REPEAT_PAUSE_SECONDS = 0.1
POLL_SECONDS = 0.1


class EvacuationOperator:
    """Gives orders to evacuate data centres; upstreams come back cold from longer evacuations.

    Parameters
    ----------
    cluster : SoakCluster
        Sends the calls and has the upstreams.
    checks : GuaranteeChecks
        Receives the acknowledged orders and what is read.
    rng : random.Random
        Source of randomness, separate from that of the other actions.
    """

    def __init__(self, cluster: "SoakCluster", checks: GuaranteeChecks, rng: random.Random) -> None:
        self.cluster = cluster
        self.checks = checks
        self.rng = rng
        self.ordered: set[str] = set()
        """Data centres from the first sending of a start to the acknowledgement of the end."""
        self.pending_orders = 0
        self.sent_orders = 0

    async def evacuate(self, data_centre: str, seconds: float) -> None:
        """Evacuate a data centre for some seconds, unless an evacuation of it is in progress."""
        if data_centre in self.ordered:
            return
        await self.start(data_centre)
        with trio.move_on_after(seconds):
            while not self.checks.is_in_force(data_centre):
                await trio.sleep(POLL_SECONDS)
                self.checks.now = trio.current_time()
            self.cool_upstreams(data_centre)
            await trio.sleep_forever()
        await self.end(data_centre)

    def cool_upstreams(self, data_centre: str) -> None:
        """Let the upstreams of a data centre become cold until its evacuation ends."""
        for upstream in self.cluster.upstreams:
            if upstream.data_centre == data_centre:
                upstream.hold_cold()

    async def start(self, data_centre: str) -> None:
        """Order the start of an evacuation."""
        self.ordered.add(data_centre)
        if await self._send_order(data_centre, is_start=True):
            self.checks.record("evacuation-acknowledged", data_centre=data_centre)

    async def end(self, data_centre: str) -> None:
        """Order the end of an evacuation."""
        self.checks.record("evacuation-ending", data_centre=data_centre)
        self.cluster.start_burst()
        if await self._send_order(data_centre, is_start=False):
            self.ordered.remove(data_centre)
        for upstream in self.cluster.upstreams:
            if upstream.data_centre == data_centre:
                upstream.release_cold()

    async def read(self) -> bool:
        """Read the evacuated data centres and compare them with the acknowledged orders.

        Returns
        -------
        bool
            Whether there was a response that no order could have changed meanwhile.
        """
        if self.pending_orders:
            # The read may be answered before the order takes effect, and arrive after its answer.
            return False
        sent_before, expected = self.sent_orders, sorted(self.ordered)
        response = await self.cluster.call_control("GET", EVACUATIONS_TARGET, b"", (200,))
        if response is None or self.sent_orders != sent_before:
            return False
        evacuated = sorted(json.loads(response.body)["evacuated"])
        self.checks.record("read-evacuations", evacuated=evacuated, expected=expected)
        return True

    async def _send_order(self, data_centre: str, *, is_start: bool) -> bool:
        self.sent_orders += 1
        self.pending_orders += 1
        target = make_evacuation_target(data_centre, is_start)
        with trio.move_on_after(ORDER_TIMEOUT_SECONDS):
            while True:
                response = await self.cluster.call_control("POST", target, b"", (200,))
                self.checks.now = trio.current_time()
                if response is not None and self.rng.random() >= LOST_ANSWERS_SHARE:
                    self.pending_orders -= 1
                    return True
                await trio.sleep(REPEAT_PAUSE_SECONDS)
        # The order stays pending, since it may still be carried out.
        self.checks.record("order-unanswered", target=target)
        return False
