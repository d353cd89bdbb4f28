"""Uploads and short requests through one balancer whose link is thin, with and without pacing.

Run ``python -m benchmarks.link_model``. Clients send a window of 16 packets at once and repeat what
isn't acknowledged after 200 ms, then after twice as long each time. The link sends a packet after
the other and drops what its buffer can't hold. The pacer is the real one.
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
"""From the upstream to the client: acknowledgements don't pass the balancer."""
TIMER_DELAY_SECONDS = 0.001
"""How late timers fire."""
ADDRESS = ("10.0.0.1", 80)


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Size and load of a run; times in seconds.

    The defaults are one balancer of the grown sites, with the busiest minute's share of the load.
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
    """What one client sends: packets, which of them are acknowledged, and when it began."""

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
    """One run.

    Parameters
    ----------
    settings : LinkSettings
        Size and load.
    paced : bool
        Whether the balancer paces.
    seed : int
        Source of all randomness.
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
        """Return shares in aim, and packets sent for each that was needed."""
        self._start_transfer(True)
        self._start_transfer(False)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        result = {}
        for name, is_upload in (("uploads", True), ("requests", False)):
            kind = [item for item in self.transfers if item.is_upload is is_upload]
            good = sum(
                item.ended_at is not None and item.ended_at - item.started_at <= item.aim_seconds
                for item in kind
            )
            result[name] = round(good / max(1, len(kind)), 3)
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
            full, rest = divmod(size, MAX_PAYLOAD_BYTES)
            sizes = [MAX_PAYLOAD_BYTES] * full + ([rest] if rest else [])
            flow = FlowKey(len(self.transfers).to_bytes(4, "big"))
            aim = settings.upload_aim if is_upload else settings.request_aim
            transfer = Transfer(flow, sizes, self.now, aim, is_upload)
            self.transfers.append(transfer)
            self._send_window(transfer)
        self._schedule(self.random.expovariate(rate), partial(self._start_transfer, is_upload))

    def _send_window(self, transfer: Transfer) -> None:
        end = min(len(transfer.payload_sizes), transfer.acknowledged_count + WINDOW_PACKETS)
        for place in range(transfer.next_packet, end):
            self._send_to_balancer(transfer, place)
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
        for place in range(transfer.acknowledged_count, transfer.next_packet):
            self._send_to_balancer(transfer, place)
        self._set_timer(transfer)

    def _send_to_balancer(self, transfer: Transfer, place: int) -> None:
        self.sent_packets += 1
        head = transfer.flow + place.to_bytes(4, "big")
        content = head + bytes(HEADER_BYTES + transfer.payload_sizes[place] - len(head))
        if self.pacer.admit(content, Instant(self.now)):
            self._send_to_link(content)
            return
        self.pacer.enqueue(transfer.flow, place, content, ADDRESS)
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
        waiting_bytes = max(0.0, self.link_free_at - self.now) * rate
        if waiting_bytes + len(content) > self.settings.buffer_bytes:
            self.lost_packets += 1
            return
        self.link_free_at = max(self.link_free_at, self.now) + len(content) / rate
        transfer = self.transfers[int.from_bytes(content[:4], "big")]
        place = int.from_bytes(content[4:8], "big")
        arrival = partial(self._receive_at_upstream, transfer, place)
        self._schedule(self.link_free_at - self.now, arrival)

    def _receive_at_upstream(self, transfer: Transfer, place: int) -> None:
        transfer.received_packets.add(place)
        up_to = transfer.acknowledged_count
        while up_to in transfer.received_packets:
            up_to += 1
        self._schedule(ACKNOWLEDGEMENT_DELAY_SECONDS, partial(self._acknowledge, transfer, up_to))

    def _acknowledge(self, transfer: Transfer, up_to: int) -> None:
        if up_to <= transfer.acknowledged_count or transfer.ended_at is not None:
            return
        transfer.acknowledged_count = up_to
        transfer.retransmission_seconds = INITIAL_RETRANSMISSION_SECONDS
        if up_to == len(transfer.payload_sizes):
            transfer.ended_at = self.now
        else:
            self._send_window(transfer)


def main() -> None:
    """Print one JSON line for each pattern and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for pattern, settings in PATTERNS.items():
        for paced in (False, True):
            result = LinkModel(settings, paced, options.seed).run()
            report("link-model", pattern=pattern, paced=paced, seed=options.seed, **result)


if __name__ == "__main__":
    main()
