"""Simulates uploads and short requests through a slow link of a balancer, paced and unpaced.

Run ``python -m benchmarks.link_model``. Clients send a window of 16 packets at once and retransmit
unacknowledged packets after 200 ms, with exponential backoff. The link sends packets one at a time
and drops those that exceed its buffer. The pacer is the real one.
"""

import argparse
import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from benchmarks.reporting import report
from chicorypost.base import FlowKey, Instant
from chicorypost.pacing import LinkPacer, PacingSettings

WINDOW_PACKETS = 16
MAX_PAYLOAD_BYTES = 1200
HEADER_BYTES = 40
INITIAL_RETRANSMISSION_SECONDS = 0.2
MAX_RETRANSMISSION_SECONDS = 1.6
ACKNOWLEDGEMENT_DELAY_SECONDS = 0.004
"""Latency from the upstream to the client; acknowledgements bypass the balancer."""
TIMER_DELAY_SECONDS = 0.001
"""Delay of a timer after its deadline."""
ADDRESS = ("10.0.0.1", 80)


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Size and load of a run; times in seconds.

    The defaults describe one balancer of the sites after their expected growth, with its share of
    the load in the busiest minute. `upload_aim` and `request_aim` are the latency targets.
    """

    bytes_per_second: float = 175_000.0
    buffer_bytes: int = 8_750
    uploads_per_second: float = 0.8
    upload_bytes: float = 40_000.0
    requests_per_second: float = 12.0
    request_bytes: int = 900
    upload_aim: float = 1.2
    request_aim: float = 0.4
    seconds: float = 120.0


PATTERNS = {
    "calm": LinkSettings(uploads_per_second=0.4, requests_per_second=6.0),
    "wave": LinkSettings(),
    "burst": LinkSettings(uploads_per_second=1.6, requests_per_second=24.0),
    "short-buffer": LinkSettings(buffer_bytes=3_000),
    "long-buffer": LinkSettings(buffer_bytes=26_000),
}


@dataclass(slots=True)
class Transfer:
    """One upload or request of a client: its packets and the progress of their transmission."""

    flow: FlowKey
    payload_sizes: list[int]
    started_at: float
    aim_seconds: float
    is_upload: bool
    acknowledged_count: int = 0
    received_packets: set[int] = field(default_factory=set)
    next_packet: int = 0
    retransmission_seconds: float = INITIAL_RETRANSMISSION_SECONDS
    timer_number: int = 0
    ended_at: float | None = None


class LinkModel:
    """One simulation run.

    Parameters
    ----------
    settings : LinkSettings
        Size and load.
    paced : bool
        Whether the balancer paces its packets.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, settings: LinkSettings, paced: bool, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        rate = settings.bytes_per_second if paced else None
        self.pacer = LinkPacer(PacingSettings(bytes_per_second=rate))
        self.link_free_at = 0.0
        self.transfers: list[Transfer] = []
        self.is_release_scheduled = False
        self.sent_packets = 0
        self.lost_packets = 0

    def run(self) -> dict[str, float]:
        """Run to the end; return the shares within the latency target and sends per packet."""
        self._start_transfer(True)
        self._start_transfer(False)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        result = {}
        for name, is_upload in (("uploads", True), ("requests", False)):
            transfers = [item for item in self.transfers if item.is_upload is is_upload]
            in_aim = sum(
                item.ended_at is not None and item.ended_at - item.started_at <= item.aim_seconds
                for item in transfers
            )
            result[name] = round(in_aim / max(1, len(transfers)), 3)
        needed = sum(len(item.payload_sizes) for item in self.transfers)
        result["sent_per_packet"] = round(self.sent_packets / needed, 2)
        return result

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (self.now + seconds, self.event_number, action))

    def _start_transfer(self, is_upload: bool) -> None:
        settings = self.settings
        rate = settings.uploads_per_second if is_upload else settings.requests_per_second
        if self.now > settings.seconds:
            return
        if self.now > 0.0:
            size = settings.request_bytes
            if is_upload:
                size = int(self.random.lognormvariate(-0.245, 0.7) * settings.upload_bytes) + 1
            full_packets, last_bytes = divmod(size, MAX_PAYLOAD_BYTES)
            payload_sizes = [MAX_PAYLOAD_BYTES] * full_packets + (
                [last_bytes] if last_bytes else []
            )
            flow = FlowKey(len(self.transfers).to_bytes(4, "big"))
            aim = settings.upload_aim if is_upload else settings.request_aim
            transfer = Transfer(flow, payload_sizes, self.now, aim, is_upload)
            self.transfers.append(transfer)
            self._send_window(transfer)
        self._schedule(self.random.expovariate(rate), partial(self._start_transfer, is_upload))

    def _send_window(self, transfer: Transfer) -> None:
        end = min(len(transfer.payload_sizes), transfer.acknowledged_count + WINDOW_PACKETS)
        for packet_number in range(transfer.next_packet, end):
            self._send_to_balancer(transfer, packet_number)
        transfer.next_packet = max(transfer.next_packet, end)
        self._set_timer(transfer)

    def _set_timer(self, transfer: Transfer) -> None:
        transfer.timer_number += 1
        self._schedule(
            transfer.retransmission_seconds,
            partial(self._retransmit, transfer, transfer.timer_number),
        )

    def _retransmit(self, transfer: Transfer, timer: int) -> None:
        if timer != transfer.timer_number or transfer.ended_at is not None:
            return
        transfer.retransmission_seconds = min(
            MAX_RETRANSMISSION_SECONDS, 2 * transfer.retransmission_seconds
        )
        for packet_number in range(transfer.acknowledged_count, transfer.next_packet):
            self._send_to_balancer(transfer, packet_number)
        self._set_timer(transfer)

    def _send_to_balancer(self, transfer: Transfer, packet_number: int) -> None:
        self.sent_packets += 1
        header = transfer.flow + packet_number.to_bytes(4, "big")
        content = header + bytes(HEADER_BYTES + transfer.payload_sizes[packet_number] - len(header))
        if self.pacer.admit(content, Instant(self.now)):
            self._send_to_link(content)
            return
        self.pacer.enqueue(transfer.flow, packet_number, content, ADDRESS)
        self._schedule_release()

    def _schedule_release(self) -> None:
        deadline = self.pacer.next_deadline()
        if deadline is not None and not self.is_release_scheduled:
            self.is_release_scheduled = True
            self._schedule(
                max(0.0, deadline - self.now) + TIMER_DELAY_SECONDS, self._release_packets
            )

    def _release_packets(self) -> None:
        self.is_release_scheduled = False
        for item in self.pacer.dequeue(Instant(self.now)):
            self._send_to_link(item.content)
        self._schedule_release()

    def _send_to_link(self, content: bytes) -> None:
        rate = self.settings.bytes_per_second
        queued_bytes = max(0.0, self.link_free_at - self.now) * rate
        if queued_bytes + len(content) > self.settings.buffer_bytes:
            self.lost_packets += 1
            return
        self.link_free_at = max(self.link_free_at, self.now) + len(content) / rate
        transfer = self.transfers[int.from_bytes(content[:4], "big")]
        packet_number = int.from_bytes(content[4:8], "big")
        arrival = partial(self._receive_at_upstream, transfer, packet_number)
        self._schedule(self.link_free_at - self.now, arrival)

    def _receive_at_upstream(self, transfer: Transfer, packet_number: int) -> None:
        transfer.received_packets.add(packet_number)
        acknowledged_count = transfer.acknowledged_count
        while acknowledged_count in transfer.received_packets:
            acknowledged_count += 1
        self._schedule(
            ACKNOWLEDGEMENT_DELAY_SECONDS, partial(self._acknowledge, transfer, acknowledged_count)
        )

    def _acknowledge(self, transfer: Transfer, acknowledged_count: int) -> None:
        if acknowledged_count <= transfer.acknowledged_count or transfer.ended_at is not None:
            return
        transfer.acknowledged_count = acknowledged_count
        transfer.retransmission_seconds = INITIAL_RETRANSMISSION_SECONDS
        if acknowledged_count == len(transfer.payload_sizes):
            transfer.ended_at = self.now
        else:
            self._send_window(transfer)


def main() -> None:
    """Print a JSON line for each pattern, without and with pacing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for pattern, settings in PATTERNS.items():
        for paced in (False, True):
            result = LinkModel(settings, paced, options.seed).run()
            report("link-model", pattern=pattern, paced=paced, seed=options.seed, **result)


if __name__ == "__main__":
    main()
