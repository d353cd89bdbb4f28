"""Reduces the number of partitions, so that thousands of small simulations can be run."""

import pytest

from chicorypost.requests import _placement

TEST_PARTITIONS = 16


@pytest.fixture(autouse=True, scope="package")
def few_partitions():
    """Reduce the number of partitions to what five balancers need."""
    default_count = _placement.PARTITION_COUNT
    _placement.PARTITION_COUNT = TEST_PARTITIONS
    _placement._rank_members.cache_clear()
    yield
    _placement.PARTITION_COUNT = default_count
    _placement._rank_members.cache_clear()
