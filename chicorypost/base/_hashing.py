"""Rendezvous hashing: the same choice on every instance without a shared table."""

from collections.abc import Callable, Iterable

import xxhash

# A 64-bit hash that is equal on every host and in every process. It is the library's function
# itself, without a function of ours around it, since it is called for each packet.
hash64: Callable[[bytes], int] = xxhash.xxh3_64_intdigest


def rendezvous_rank(key: bytes, candidates: Iterable[str], count: int) -> list[str]:
    """Rank candidates for a key by highest random weight.

    Parameters
    ----------
    key : bytes
        What is to be placed.
    candidates : iterable of str
        Names to choose from.
    count : int
        How many of the best to return, at most.

    Returns
    -------
    list of str
        The best candidates, best first. Removing a candidate never changes the order of the rest.

    Examples
    --------
    >>> rendezvous_rank(b"flow", ["a", "b", "c"], 1) == rendezvous_rank(b"flow", ["c", "b", "a"], 1)
    True
    """
    weighted = sorted(candidates, key=lambda name: (hash64(key + b"\0" + name.encode()), name))
    return weighted[::-1][:count]
