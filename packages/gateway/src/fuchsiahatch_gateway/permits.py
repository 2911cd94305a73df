"""An entry's permits to send requests to cold upstreams and those that state a rate."""

import asyncio
import hashlib
import itertools
import typing as t

from fuchsiahatch_gateway.cold_starts import WARM_UP_SHARE
from fuchsiahatch_gateway.datagrams import (
    ColdPermitRequest,
    DatagramPort,
    Peer,
    PermitReply,
    PermitRequest,
)
from fuchsiahatch_gateway.defaults import MAX_PERMIT_REPLY_MS
from fuchsiahatch_gateway.issuer_terms import IssuerTerms
from fuchsiahatch_gateway.permit_issuer import WARM_UP_MS, PermitIssuer
from fuchsiahatch_gateway.stated_rates import LOCAL_PRECEDENCE_MS, StatedRate

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.lookups import EntryRecord

#: Time allowed for another entry's reply: a round trip of some ms.
REPLY_TIMEOUT_MS = 60
#: Time after which a permit is asked for again where the issuer didn't reply.
NO_REPLY_DELAY_MS = 500
#: Maximum wait for a permit of a cold upstream. Some of the entries that were given a
#: time no longer need the permit then; with longer waits it is issued to nobody.
MAX_COLD_WAIT_MS = 400


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
    cold_rate_of : callable, optional
        Returns the rate of the permits of a cold upstream; None where it isn't cold.

    Attributes
    ----------
    issuer, cold_issuer : PermitIssuer
        Issue the permits for which this entry is responsible: of upstreams that state a
        rate, and of cold ones, whose permits don't accumulate.
    unanswered : int
        Permit requests without a timely reply.
    """

    __slots__ = (
        "_clock",
        "_cold_rate_of",
        "_datagrams",
        "_entries",
        "_node",
        "_numbers",
        "_pending",
        "_terms",
        "_upstream_of",
        "cold_issuer",
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
        cold_rate_of: t.Callable[["Upstream"], StatedRate | None] = lambda upstream: (
            None
        ),
    ) -> None:
        self._cold_rate_of = cold_rate_of
        self._upstream_of = upstream_of
        self._node = node
        self._entries = entries
        self._datagrams = datagrams
        self._clock = clock
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[int]] = {}
        self._terms = IssuerTerms(node, _choose_issuer, WARM_UP_MS)
        self.issuer = PermitIssuer(clock)
        self.cold_issuer = PermitIssuer(clock, 0, MAX_COLD_WAIT_MS, WARM_UP_SHARE)
        self.unanswered = 0

    def note_entries(self) -> None:
        """Note which entries are alive; to be called several times a second."""
        self._terms.note(self._entries(), self._clock.now_ms())

    async def ask(self, upstream: "Upstream") -> int:
        """Ask for a permit to send a request to an upstream.

        Returns
        -------
        wait_ms : int
            0 where the request may be sent now, else the time until the next attempt.
        """
        instance = upstream.entry.instance
        issuer = self._find_issuer(instance)
        now_ms = self._clock.now_ms()
        cold_rate = self._cold_rate_of(upstream)
        rate = upstream.stated if cold_rate is None else cold_rate
        if rate is None:
            return 0
        age_ms = now_ms - rate.stated_ms
        if issuer is not None:
            kind = PermitRequest if cold_rate is None else ColdPermitRequest
            return await self._ask_entry(
                issuer, kind, instance, rate.rate_per_s, age_ms
            )
        issue = self.issuer.issue if cold_rate is None else self._issue_cold
        return issue(instance, rate.rate_per_s, age_ms)

    async def _ask_entry(
        self,
        issuer: Peer,
        kind: type[PermitRequest] | type[ColdPermitRequest],
        instance: str,
        rate_per_s: float,
        age_ms: int,
    ) -> int:
        """Ask another entry; return the wait as `ask` does."""
        began_ms = self._clock.now_ms()
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            request = kind(number, instance, rate_per_s, age_ms)
            self._datagrams.send(request, issuer)
            await asyncio.wait({future}, timeout=REPLY_TIMEOUT_MS / 1000)
        finally:
            del self._pending[number]
        took_ms = self._clock.now_ms() - began_ms
        if not future.done() or took_ms > MAX_PERMIT_REPLY_MS:
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

    def receive_cold_request(self, request: ColdPermitRequest, peer: Peer) -> None:
        """Answer another entry, by the rate known here where that is lower."""
        upstream = self._upstream_of(request.upstream)
        known = None if upstream is None else self._cold_rate_of(upstream)
        rate_per_s, age_ms = request.rate_per_s, request.age_ms
        if known is not None and known.rate_per_s < rate_per_s:
            rate_per_s = known.rate_per_s
            age_ms = self._clock.now_ms() - known.stated_ms
        wait_ms = self._issue_cold(request.upstream, rate_per_s, age_ms)
        self._datagrams.send(PermitReply(request.number, wait_ms), peer)

    def _issue_cold(self, instance: str, rate_per_s: float, age_ms: int) -> int:
        """Issue a cold upstream's permit, if this entry is its issuer by its own view.

        An entry that is cut off from the store may ask a former issuer, and one that is
        not registered yet knows of no other. Each further issuer adds to the rate.
        """
        self.note_entries()
        began_ms = self._terms.began_ms(instance)
        if began_ms is None:
            return NO_REPLY_DELAY_MS
        return self.cold_issuer.issue(instance, rate_per_s, age_ms, began_ms)

    def receive_reply(self, reply: PermitReply) -> None:
        """Complete the pending permit request that a reply answers."""
        future = self._pending.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply.wait_ms)

    def _find_issuer(self, instance: str) -> Peer | None:
        """Return the entry that issues an upstream's permits; None for this one."""
        entries = self._entries()
        issuer_node = _choose_issuer(entries, instance)
        if issuer_node is None or issuer_node == self._node:
            return None
        return entries[issuer_node].peer


def _choose_issuer(nodes: t.Iterable[str], instance: str) -> str | None:
    """Return the node with the highest weight; None without any."""
    return max(nodes, key=lambda node: _weight(node, instance), default=None)


def _weight(node: str, instance: str) -> bytes:
    """Return the rendezvous weight of an entry for an upstream."""
    name = f"{node}\0{instance}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()
