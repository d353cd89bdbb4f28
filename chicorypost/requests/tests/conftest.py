"""Few partitions, so that thousands of small worlds can be run."""

import pytest

from chicorypost.requests import _placement

TEST_PARTITIONS = 16


@pytest.fixture(autouse=True, scope="package")
def few_partitions():
    """Let the placement have as many partitions as five balancers need."""
    whole = _placement.PARTITION_COUNT
    _placement.PARTITION_COUNT = TEST_PARTITIONS
    _placement._rank_members.cache_clear()
    yield
    _placement.PARTITION_COUNT = whole
    _placement._rank_members.cache_clear()
