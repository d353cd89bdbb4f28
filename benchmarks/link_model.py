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
DATA_BYTES = 1200
HEAD_BYTES = 40
FIRST_REPEAT_SECONDS = 0.2
LAST_REPEAT_SECONDS = 1.6
BACK_SECONDS = 0.004
"""From the upstream to the client: acknowledgements don't pass the balancer."""
LATE_SECONDS = 0.001
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
    sizes: list[int]
    began_at: float
    aim: float
    is_upload: bool
    acknowledged: int = 0
    received: set[int] = field(default_factory=set)
    sent_up_to: int = 0
    repeat_seconds: float = FIRST_REPEAT_SECONDS
    timer: int = 0
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
        self.number = 0
        rate = settings.bytes_per_second if paced else None
        self.pacer = LinkPacer(PacingSettings(bytes_per_second=rate))
        self.link_free_at = 0.0
        self.transfers: list[Transfer] = []
        self.is_waking = False
        self.sent = 0
        self.lost = 0

    def run(self) -> dict[str, float]:
        """Return shares in aim, and packets sent for each that was needed."""
        self._arrive(True)
        self._arrive(False)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        result = {}
        for name, is_upload in (("uploads", True), ("requests", False)):
            kind = [item for item in self.transfers if item.is_upload is is_upload]
            good = sum(
                item.ended_at is not None and item.ended_at - item.began_at <= item.aim
                for item in kind
            )
            result[name] = round(good / max(1, len(kind)), 3)
        needed = sum(len(item.sizes) for item in self.transfers)
        result["sent_per_packet"] = round(self.sent / needed, 2)
        return result

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (self.now + seconds, self.number, action))

    def _arrive(self, is_upload: bool) -> None:
        settings = self.settings
        rate = settings.uploads_per_second if is_upload else settings.requests_per_second
        if self.now > settings.seconds:
            return
        if self.now > 0.0:
            size = settings.request_bytes
            if is_upload:
                size = int(self.random.lognormvariate(-0.245, 0.7) * settings.upload_bytes) + 1
            full, rest = divmod(size, DATA_BYTES)
            sizes = [DATA_BYTES] * full + ([rest] if rest else [])
            flow = FlowKey(len(self.transfers).to_bytes(4, "big"))
            aim = settings.upload_aim if is_upload else settings.request_aim
            transfer = Transfer(flow, sizes, self.now, aim, is_upload)
            self.transfers.append(transfer)
            self._send_window(transfer)
        self._after(self.random.expovariate(rate), partial(self._arrive, is_upload))

    def _send_window(self, transfer: Transfer) -> None:
        end = min(len(transfer.sizes), transfer.acknowledged + WINDOW_PACKETS)
        for place in range(transfer.sent_up_to, end):
            self._reach_balancer(transfer, place)
        transfer.sent_up_to = max(transfer.sent_up_to, end)
        self._set_timer(transfer)

    def _set_timer(self, transfer: Transfer) -> None:
        transfer.timer += 1
        self._after(transfer.repeat_seconds, partial(self._repeat, transfer, transfer.timer))

    def _repeat(self, transfer: Transfer, timer: int) -> None:
        if timer != transfer.timer or transfer.ended_at is not None:
            return
        transfer.repeat_seconds = min(LAST_REPEAT_SECONDS, 2 * transfer.repeat_seconds)
        for place in range(transfer.acknowledged, transfer.sent_up_to):
            self._reach_balancer(transfer, place)
        self._set_timer(transfer)

    def _reach_balancer(self, transfer: Transfer, place: int) -> None:
        self.sent += 1
        head = transfer.flow + place.to_bytes(4, "big")
        content = head + bytes(HEAD_BYTES + transfer.sizes[place] - len(head))
        if self.pacer.admit(content, Instant(self.now)):
            self._reach_link(content)
            return
        self.pacer.enqueue(transfer.flow, place, content, ADDRESS)
        self._wake()

    def _wake(self) -> None:
        deadline = self.pacer.next_deadline()
        if deadline is not None and not self.is_waking:
            self.is_waking = True
            self._after(max(0.0, deadline - self.now) + LATE_SECONDS, self._release)

    def _release(self) -> None:
        self.is_waking = False
        for item in self.pacer.dequeue(Instant(self.now)):
            self._reach_link(item.content)
        self._wake()

    def _reach_link(self, content: bytes) -> None:
        rate = self.settings.bytes_per_second
        waiting_bytes = max(0.0, self.link_free_at - self.now) * rate
        if waiting_bytes + len(content) > self.settings.buffer_bytes:
            self.lost += 1
            return
        self.link_free_at = max(self.link_free_at, self.now) + len(content) / rate
        transfer = self.transfers[int.from_bytes(content[:4], "big")]
        place = int.from_bytes(content[4:8], "big")
        arrival = partial(self._reach_upstream, transfer, place)
        self._after(self.link_free_at - self.now, arrival)

    def _reach_upstream(self, transfer: Transfer, place: int) -> None:
        transfer.received.add(place)
        up_to = transfer.acknowledged
        while up_to in transfer.received:
            up_to += 1
        self._after(BACK_SECONDS, partial(self._acknowledge, transfer, up_to))

    def _acknowledge(self, transfer: Transfer, up_to: int) -> None:
        if up_to <= transfer.acknowledged or transfer.ended_at is not None:
            return
        transfer.acknowledged = up_to
        transfer.repeat_seconds = FIRST_REPEAT_SECONDS
        if up_to == len(transfer.sizes):
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
