"""An entry's permits to send requests to upstreams that state a rate."""

import asyncio
import hashlib
import itertools
import typing as t

from fuchsiahatch_gateway.datagrams import (
    DatagramPort,
    Peer,
    PermitReply,
    PermitRequest,
)
from fuchsiahatch_gateway.permit_issuer import PermitIssuer
from fuchsiahatch_gateway.stated_rates import LOCAL_PRECEDENCE_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.lookups import EntryRecord

#: Time allowed for another entry's reply: a round trip of some ms.
REPLY_TIMEOUT_MS = 60
#: Time after which a permit is asked for again where the issuer didn't reply.
NO_REPLY_DELAY_MS = 500


class Permits:
    """Asks for permits, and answers the permit requests of other entries.

    One entry issues all permits of an upstream. By rendezvous hashing all entries
    choose the same one without communication: that with the highest weight.

    Parameters
    ----------
    node : str
        Name of this entry.
    entries : callable
        Returns all live entries by node.
    datagrams : DatagramPort
    clock : Clock
    upstream_of : callable
        Returns the known upstream of an instance, or None.

    Attributes
    ----------
    issuer : PermitIssuer
        Issues the permits for which this entry is responsible.
    unanswered : int
        Permit requests without a timely reply.
    """

    __slots__ = (
        "_clock",
        "_datagrams",
        "_entries",
        "_node",
        "_numbers",
        "_pending",
        "_upstream_of",
        "issuer",
        "unanswered",
    )

    def __init__(
        self,
        node: str,
        entries: t.Callable[[], t.Mapping[str, "EntryRecord"]],
        datagrams: DatagramPort,
        clock: "Clock",
        upstream_of: t.Callable[[str], "Upstream | None"],
    ) -> None:
        self._upstream_of = upstream_of
        self._node = node
        self._entries = entries
        self._datagrams = datagrams
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[int]] = {}
        self.issuer = PermitIssuer(clock)
        self.unanswered = 0

    async def ask(self, upstream: "Upstream") -> int:
        """Ask for a permit to send a request to an upstream.

        Returns
        -------
        wait_ms : int
            0 where the request may be sent now, else the time until the next attempt.
        """
        stated = upstream.stated
        if stated is None:
            return 0
        began_ms = self._clock.now_ms()
        instance = upstream.entry.instance
        age_ms = began_ms - stated.stated_ms
        issuer = self._find_issuer(instance)
        if issuer is None:
            return self.issuer.issue(instance, stated.rate_per_s, age_ms)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            self._datagrams.send(
                PermitRequest(number, instance, stated.rate_per_s, age_ms), issuer
            )
            await asyncio.wait({future}, timeout=REPLY_TIMEOUT_MS / 1000)
        finally:
            del self._pending[number]
        # After a stall of this host the permit is for an earlier time.
        took_ms = self._clock.now_ms() - began_ms
        if not future.done() or took_ms > 2 * REPLY_TIMEOUT_MS:
            self.unanswered += 1
            return NO_REPLY_DELAY_MS
        return future.result()

    def receive_request(self, request: PermitRequest, peer: Peer) -> None:
        """Answer another entry, by the rate known here where that is newer."""
        now_ms = self._clock.now_ms()
        rate_per_s, age_ms = request.rate_per_s, request.age_ms
        upstream = self._upstream_of(request.upstream)
        wait_ms = 0
        if (
            upstream is not None
            and upstream.rate_stated_ms > now_ms - age_ms + LOCAL_PRECEDENCE_MS
        ):
            age_ms = now_ms - upstream.rate_stated_ms
            rate_per_s = None if upstream.stated is None else upstream.stated.rate_per_s
        if rate_per_s is not None:
            wait_ms = self.issuer.issue(request.upstream, rate_per_s, age_ms)
        self._datagrams.send(PermitReply(request.number, wait_ms), peer)

    def receive_reply(self, reply: PermitReply) -> None:
        """Complete the pending permit request that a reply answers."""
        future = self._pending.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply.wait_ms)

    def _find_issuer(self, instance: str) -> Peer | None:
        """Return the entry that issues an upstream's permits; None for this one."""
        entries = self._entries()
        issuer_node = max(
            entries, key=lambda node: _weight(node, instance), default=None
        )
        return None if issuer_node in (None, self._node) else entries[issuer_node].peer


def _weight(node: str, instance: str) -> bytes:
    """Return the rendezvous weight of an entry for an upstream."""
    name = f"{node}\0{instance}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()
