"""Uploads through slow links by pattern of load: whole windows at once, bursts, short buffers."""

import pytest

from benchmarks.link_model import PATTERNS, LinkModel

MIN_SHARE_WITHIN_TARGET = 0.80
"""Target of the grown sites for the mean worth of a request. Here it bounds the share of uploads
within their latency target, since uploads wait longest at such a site."""


@pytest.mark.parametrize("pattern", PATTERNS)
def test_paced_uploads_meet_their_latency_target_and_delay_no_short_request(pattern):
    result = LinkModel(PATTERNS[pattern], True, seed=1).run()
    assert result["uploads"] >= MIN_SHARE_WITHIN_TARGET
    assert result["requests"] >= 0.99
    assert result["sent_per_packet"] < 1.1


@pytest.mark.parametrize("pattern", ["burst", "short-buffer"])
def test_unpaced_windows_miss_the_latency_target(pattern):
    assert LinkModel(PATTERNS[pattern], False, seed=1).run()["uploads"] < MIN_SHARE_WITHIN_TARGET
