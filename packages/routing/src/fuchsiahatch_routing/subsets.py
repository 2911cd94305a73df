"""Subsets of the upstreams: limits how many of them each entry connects to."""

import heapq
import itertools
import typing as t

import xxhash

from fuchsiahatch_core.identities import Offer

#: Upstreams that an entry uses for each zone and offer.
SUBSET_SIZE = 12


def choose_subset(
    entry: str,
    hosts: t.Iterable[tuple[str, str, t.Iterable[Offer]]],
    size: int = SUBSET_SIZE,
) -> frozenset[str]:
    """Return the hosts whose agents an entry watches and sends to.

    Parameters
    ----------
    entry : str
        The entry's host name.
    hosts : iterable of (host, zone, offers)
        All listed upstreams.
    size : int
        Hosts taken for each zone and offer; all of them where there are fewer.

    Notes
    -----
    Every process with the same list computes the same subset, without
    coordination. Each (entry, host) pair has its own rendezvous weight, so that a
    host that is added or removed changes at most one member of an entry's subset
    for each zone and offer.
    """
    pairs = (((zone, offer), host) for host, zone, offers in hosts for offer in offers)
    by_place = itertools.groupby(sorted(pairs), key=lambda pair: pair[0])
    chosen = (
        heapq.nlargest(size, (host for _, host in group), key=_weight(entry))
        for _, group in by_place
    )
    return frozenset(itertools.chain.from_iterable(chosen))


def _weight(entry: str) -> t.Callable[[str], tuple[int, str]]:
    def weight(host: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{entry}\0{host}".encode()), host

    return weight
