"""Who waits and who is refused, by patterns of load; the routers are the real ones, no network."""

from functools import cache

import pytest

from benchmarks.load_model import PATTERNS, POLICIES, LoadModel, ModelSettings
from benchmarks.load_model.__main__ import measure

SEEDS = 4


@cache
def seen(pattern, way):
    return measure(pattern, way, SEEDS)


def test_a_cut_data_centre_goes_on_serving_the_flows_that_it_has():
    assert seen("zone-cut", "product")["failed"] < seen("zone-cut", "least-loaded")["failed"] / 2
    assert seen("zone-cut", "product")["in_aim"] > seen("zone-cut", "random")["in_aim"]


def test_a_dead_upstream_costs_less_than_without_suspicion():
    assert seen("crash", "product")["failed"] < seen("crash", "round-robin")["failed"]


def test_a_slow_upstream_gets_fewer_flows_than_by_chance():
    assert seen("slow", "product")["failed"] < seen("slow", "random")["failed"] / 2


@pytest.mark.parametrize("pattern", ["hang", "grey", "flap"])
def test_an_upstream_that_looks_well_costs_less_than_by_chance(pattern):
    assert seen(pattern, "product")["failed"] < seen(pattern, "random")["failed"]


@pytest.mark.parametrize("pattern", ["calm", "wave", "release", "scale-out"])
def test_planned_work_and_waves_lose_nothing(pattern):
    assert seen(pattern, "product")["failed"] == 0.0


def test_a_burst_is_served():
    assert seen("burst", "product")["served"] > 0.99


def test_a_seed_gives_the_same_run():
    results = []
    for _ in range(2):
        model = LoadModel(ModelSettings(seconds=5.0), "product", 7)
        PATTERNS["crash"].apply(model)
        results.append(model.run().latencies)
    assert results[0] == results[1]


def test_load_is_spread_over_the_upstreams():
    model = LoadModel(ModelSettings(upstreams=6), "product", 3)
    model.run()
    served = [item.served_requests for item in model.upstreams]
    assert max(served) < 1.5 * sum(served) / len(served)


def test_every_way_serves_a_calm_day():
    for way in POLICIES:
        assert seen("calm", way)["failed"] == 0.0
