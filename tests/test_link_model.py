"""Uploads through slow links by pattern of load: whole windows at once, bursts, short buffers."""

import pytest

from benchmarks.link_model import PATTERNS, LinkModel

IN_AIM = 0.80
"""Share of requests in aim that the grown sites target; a site's uploads are delayed the most."""


@pytest.mark.parametrize("pattern", PATTERNS)
def test_paced_uploads_are_in_aim_and_delay_no_short_request(pattern):
    result = LinkModel(PATTERNS[pattern], True, seed=1).run()
    assert result["uploads"] >= IN_AIM
    assert result["requests"] >= 0.99
    assert result["sent_per_packet"] < 1.1


@pytest.mark.parametrize("pattern", ["burst", "short-buffer"])
def test_unpaced_windows_miss_the_aim(pattern):
    assert LinkModel(PATTERNS[pattern], False, seed=1).run()["uploads"] < IN_AIM
