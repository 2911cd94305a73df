"""An entry's permits to send to upstreams that name the rate they take."""

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
from fuchsiahatch_gateway.stated_rates import OWN_WORD_MS

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.known_upstream import Upstream
    from fuchsiahatch_gateway.lookups import EntryRecord

#: Time that an answer of another entry may take: two ways of some ms.
ANSWER_MS = 60
#: Pause before whoever gave no answer is asked again.
SILENT_PAUSE_MS = 500


class Permits:
    """Asks for permits, and answers other entries that do.

    The entries agree on who gives out an upstream's permits without a word: it has the
    highest hash with it among all that are there.

    Parameters
    ----------
    node : str
    entries : callable
        Returns all entries that are there, by node.
    datagrams : DatagramPort
    clock : Clock
    upstream_of : callable
        Returns what this entry believes of an instance, or None.

    Attributes
    ----------
    issuer : PermitIssuer
    unanswered : int
    """

    __slots__ = (
        "_asked",
        "_clock",
        "_datagrams",
        "_entries",
        "_node",
        "_numbers",
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
        self._asked: dict[int, asyncio.Future[int]] = {}
        self.issuer = PermitIssuer(clock)
        self.unanswered = 0

    async def ask(self, upstream: "Upstream") -> int:
        """Return 0 where a request may go to an upstream now, or when to ask again.

        Returns
        -------
        wait_ms : int
        """
        stated = upstream.stated
        if stated is None:
            return 0
        began_ms = self._clock.now_ms()
        instance = upstream.entry.instance
        age_ms = began_ms - stated.said_ms
        home = self._home_of(instance)
        if home is None:
            return self.issuer.issue(instance, stated.rate_per_s, age_ms)
        number = next(self._numbers)
        answered = asyncio.get_running_loop().create_future()
        self._asked[number] = answered
        try:
            self._datagrams.send(
                PermitRequest(number, instance, stated.rate_per_s, age_ms), home
            )
            await asyncio.wait({answered}, timeout=ANSWER_MS / 1000)
        finally:
            del self._asked[number]
        # A host that stood still meanwhile has a permit of another moment.
        took_ms = self._clock.now_ms() - began_ms
        if not answered.done() or took_ms > 2 * ANSWER_MS:
            self.unanswered += 1
            return SILENT_PAUSE_MS
        return answered.result()

    def receive_request(self, request: PermitRequest, peer: Peer) -> None:
        """Answer another entry, by what is known here where that is newer."""
        now_ms = self._clock.now_ms()
        rate_per_s, age_ms = request.rate_per_s, request.age_ms
        known = self._upstream_of(request.upstream)
        wait_ms = 0
        if known is not None and known.rate_said_ms > now_ms - age_ms + OWN_WORD_MS:
            age_ms = now_ms - known.rate_said_ms
            rate_per_s = None if known.stated is None else known.stated.rate_per_s
        if rate_per_s is not None:
            wait_ms = self.issuer.issue(request.upstream, rate_per_s, age_ms)
        self._datagrams.send(PermitReply(request.number, wait_ms), peer)

    def receive_reply(self, reply: PermitReply) -> None:
        """Take in another entry's answer."""
        answered = self._asked.get(reply.number)
        if answered is not None and not answered.done():
            answered.set_result(reply.wait_ms)

    def _home_of(self, instance: str) -> Peer | None:
        """Return who gives out an upstream's permits; None for this entry itself."""
        entries = self._entries()
        home = max(entries, key=lambda node: _weight(node, instance), default=None)
        return None if home in (None, self._node) else entries[home].peer


def _weight(node: str, instance: str) -> bytes:
    """Return the rendezvous weight of an entry for an upstream."""
    name = f"{node}\0{instance}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()
