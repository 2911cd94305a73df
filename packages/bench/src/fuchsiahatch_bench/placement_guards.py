"""Entries and writes without one guard each, to show by search what it is for."""

import contextlib
import typing as t
from unittest import mock

from fuchsiahatch_core.defaults import FRESH_MS
from fuchsiahatch_placement import acceptance, writing
from fuchsiahatch_placement.acceptance import EntryConfiguration

Guards = t.Callable[[], t.ContextManager[t.Any]]


class CountsRestarted(EntryConfiguration):
    """Votes from its first moment, whatever it has forgotten."""

    __slots__ = ()

    def votes(self) -> bool:
        """Vote always."""
        return True


class AsksOnePeer(EntryConfiguration):
    """Takes one peer's word for a majority's."""

    __slots__ = ()

    def _has_majority(self, heard: set[str]) -> bool:
        return bool(heard)


class CountsFromAnswer(EntryConfiguration):
    """Counts freshness from when the answer came."""

    __slots__ = ()

    def _counts_from(self, found: t.Any, now_ms: int) -> int:
        return now_ms


def accept_at_once() -> t.ContextManager[t.Any]:
    """Tell `accepted` without waiting for the freshness of before to end."""
    return mock.patch.object(writing, "DRIFT_MARGIN_MS", -FRESH_MS)


def let_single_voter_confirm() -> t.ContextManager[t.Any]:
    """Let the one voter of a region confirm itself."""
    return mock.patch.object(acceptance, "FEWEST_CONFIRMING", 1)


def change_roster_at_once() -> t.ContextManager[t.Any]:
    """Change a roster that has not been acknowledged."""
    return mock.patch.object(writing, "_needs_acknowledged_base", lambda core: False)


#: By name: what makes the entries, and what is patched around the search.
WITHOUT_GUARD: dict[str, tuple[type[EntryConfiguration], Guards]] = {
    "none": (EntryConfiguration, contextlib.nullcontext),
    "restarted voter not counted": (CountsRestarted, contextlib.nullcontext),
    "majority of the region": (AsksOnePeer, contextlib.nullcontext),
    "freshness from the question": (CountsFromAnswer, contextlib.nullcontext),
    "accepted after old freshness": (EntryConfiguration, accept_at_once),
    "two voters to confirm": (EntryConfiguration, let_single_voter_confirm),
    "roster acknowledged first": (EntryConfiguration, change_roster_at_once),
}
