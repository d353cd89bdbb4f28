"""Patterns of load and faults; each is applied to a simulation before its run."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from benchmarks.load_model.model import LoadModel, ModelUpstream
from chicorypost.announcements import AnnouncedStatus


@dataclass(frozen=True, slots=True)
class Pattern:
    """A pattern with its description."""

    description: str
    apply: Callable[[LoadModel], None]


AFFECTED_STEP = 7
"""One of so many upstreams is affected by a fault of single upstreams."""


def _list_affected(model: LoadModel) -> list[ModelUpstream]:
    return model.upstreams[1::AFFECTED_STEP]


def _calm(model: LoadModel) -> None:
    return None


def _wave(model: LoadModel) -> None:
    model.rate_factor = lambda now: 1.0 + 0.3 * math.sin(now)


def _burst(model: LoadModel) -> None:
    model.rate_factor = lambda now: 1.7 if 8.0 <= now < 11.0 else 1.0


def _crash(model: LoadModel) -> None:
    model.schedule(6.0, lambda: model.kill(model.upstreams[1]))


def _mass_crash(model: LoadModel) -> None:
    def crash() -> None:
        for upstream in model.upstreams[::AFFECTED_STEP]:
            model.kill(upstream)

    model.schedule(6.0, crash)


def _darkness(model: LoadModel) -> None:
    def set_dark(is_dark: bool) -> None:
        model.is_dark = is_dark

    model.schedule(6.0, partial(set_dark, True))
    model.schedule(7.5, partial(set_dark, False))


def _shift(model: LoadModel) -> None:
    def move(share: float) -> None:
        model.moved_share = share

    model.schedule(4.0, partial(move, 0.5))
    model.schedule(10.0, partial(move, 0.0))


def _late_openings(model: LoadModel) -> None:
    for upstream in model.upstreams:
        upstream.late_opening_share = 0.01


def _slow(model: LoadModel) -> None:
    def slow_down() -> None:
        for upstream in _list_affected(model):
            upstream.slowdown_factor = 5.0

    model.schedule(6.0, slow_down)


def _hang(model: LoadModel) -> None:
    def set_hung(is_hung: bool) -> None:
        for upstream in _list_affected(model):
            upstream.is_hung = is_hung
            upstream.recovered_at = model.now

    model.schedule(6.0, partial(set_hung, True))
    model.schedule(12.0, partial(set_hung, False))


def _stall(model: LoadModel) -> None:
    for upstream in model.upstreams:
        upstream.acknowledges = False
    _hang(model)


def _grey(model: LoadModel) -> None:
    def set_share(share: float) -> None:
        for upstream in _list_affected(model):
            upstream.refusal_share = share

    model.schedule(6.0, partial(set_share, 0.4))
    model.schedule(12.0, partial(set_share, 0.0))


def _flap(model: LoadModel) -> None:
    for number in range(4):
        for upstream in _list_affected(model):
            model.schedule(5.0 + 1.7 * number, partial(model.flap, upstream, 0.85))


def _zone_cut(model: LoadModel) -> None:
    def isolate() -> None:
        model.isolated_data_centre = model.balancer_data_centres[0]

    def reconnect() -> None:
        model.isolated_data_centre = None

    model.schedule(6.0, isolate)
    model.schedule(12.0, reconnect)


def _release(model: LoadModel) -> None:
    for number in range(3):

        def replace(number: int = number) -> None:
            model.add_upstream()
            model.upstreams[number].status = AnnouncedStatus.DRAINING
            model.update_balancers()

        model.schedule(5.0 + 2.0 * number, replace)


def _scale_out(model: LoadModel) -> None:
    def add() -> None:
        model.add_upstream()

    for number in range(3):
        model.schedule(5.0 + number, add)


PATTERNS: dict[str, Pattern] = {
    "calm": Pattern("constant load without faults", _calm),
    "wave": Pattern("the load varies by 30 %", _wave),
    "burst": Pattern("1.7 times the load for 3 s", _burst),
    "crash": Pattern("an upstream crashes", _crash),
    "mass-crash": Pattern("a seventh of the upstreams crash at once", _mass_crash),
    "late-openings": Pattern("one opening of a hundred is answered after 0.25 s", _late_openings),
    "darkness": Pattern("all balancers are without power for 1.5 s", _darkness),
    "shift": Pattern("half of the clients of a data centre are at another one for 6 s", _shift),
    "slow": Pattern("a seventh of the upstreams take five times as long for a request", _slow),
    "hang": Pattern("a seventh of the upstreams don't respond to requests for 6 s", _hang),
    "stall": Pattern("as hang, and the data of requests isn't acknowledged either", _stall),
    "grey": Pattern("a seventh of the upstreams refuse two of five requests for 6 s", _grey),
    "flap": Pattern("a seventh of the upstreams crash and restart four times", _flap),
    "zone-cut": Pattern("a data centre is isolated for 6 s", _zone_cut),
    "release": Pattern("upstreams are replaced one after the other", _release),
    "scale-out": Pattern("idle upstreams are added", _scale_out),
}
