"""Terms of an entry as the issuer of upstreams' permits, by its own view."""

import dataclasses
import typing as t


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """The live entries, and when this set of them was first seen."""

    seen_ms: int
    nodes: frozenset[str]


class IssuerTerms:
    """Tells since when this entry has been the issuer of an upstream's permits.

    An entry that has just become the issuer issues fewer permits for a while, as the
    previous one may still issue some. If that time began with the first request for a
    permit, it would last longer than an upstream is cold.

    Parameters
    ----------
    node : str
        Name of this entry.
    choose_issuer : callable
        Returns the issuer among some nodes for an upstream's instance.
    kept_ms : int
        How long a former view is kept. A term that is older than this may seem younger,
        but not younger than this.
    """

    __slots__ = ("_choose_issuer", "_kept_ms", "_node", "_views")

    def __init__(
        self,
        node: str,
        choose_issuer: t.Callable[[t.Iterable[str], str], str | None],
        kept_ms: int,
    ) -> None:
        self._node = node
        self._choose_issuer = choose_issuer
        self._kept_ms = kept_ms
        self._views: list[_View] = []

    def note(self, nodes: t.Iterable[str], now_ms: int) -> None:
        """Note the entries that are alive; called several times a second."""
        nodes = frozenset(nodes)
        if not self._views or self._views[-1].nodes != nodes:
            self._views.append(_View(now_ms, nodes))
        while len(self._views) > 1 and now_ms - self._views[1].seen_ms > self._kept_ms:
            del self._views[0]

    def began_ms(self, instance: str) -> int | None:
        """Return when this entry became an upstream's issuer; None if it isn't."""
        began_ms = None
        for view in reversed(self._views):
            if self._choose_issuer(view.nodes, instance) != self._node:
                break
            began_ms = view.seen_ms
        return began_ms
