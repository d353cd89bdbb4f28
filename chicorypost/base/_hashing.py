"""Rendezvous hashing, which places keys equally on every instance without shared state."""

from collections.abc import Callable, Iterable

import xxhash

# 64-bit hash that is equal on all hosts and in all processes. It is an alias without a wrapper
# because it is called for each packet.
hash64: Callable[[bytes], int] = xxhash.xxh3_64_intdigest


def rendezvous_rank(key: bytes, candidates: Iterable[str], count: int) -> list[str]:
    """Rank candidates for a key by highest random weight.

    Parameters
    ----------
    key : bytes
        Key of the item to place.
    candidates : iterable of str
        Names to rank.
    count : int
        Maximum number of names to return.

    Returns
    -------
    list of str
        Names in descending rank. Removing a candidate never changes the order of the others.

    Examples
    --------
    >>> rendezvous_rank(b"flow", ["a", "b", "c"], 1) == rendezvous_rank(b"flow", ["c", "b", "a"], 1)
    True
    """
    ranked = sorted(candidates, key=lambda name: (hash64(key + b"\0" + name.encode()), name))
    return ranked[::-1][:count]
