"""Which requests, or which prompt parts of them, explain a series of crashes."""

import dataclasses
import itertools
import typing as t

#: Crashes after which a fingerprint counts as their cause.
MAX_CRASHES = 3
#: Crashes that no other cause explains from which on a known cause stays one.
MIN_OWN_CRASHES = 2
#: `MAX_CRASHES` for a fingerprint that had a complete answer shortly before the first
#: of them, and the shortest time that they must span: what runs on many upstreams is at
#: each of them when a rack loses power.
MAX_CRASHES_AFTER_ANSWER = 5
MIN_SPAN_AFTER_ANSWER_MS = 3_000
#: Time around a series of crashes in which others without a known cause raise a doubt.
DOUBT_WINDOW_MS = 60_000
#: Time for which a cause is held back; after that, a new version of the model may be
#: able to run it.
HOLD_MS = 600_000
#: The same for a cause in doubt, after the fewest crashes; doubled with each further
#: one.
DOUBTFUL_HOLD_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """What is known of one request that ran on an upstream as it crashed.

    Attributes
    ----------
    team : str
        Fingerprint of its team.
    keys : frozenset of str
        Its own fingerprint and those of its prompt parts, without those that are known
        to crash no upstream.
    """

    team: str
    keys: frozenset[str]


@dataclasses.dataclass(slots=True, eq=False)
class Crash:
    """One crash of an upstream, as far as it is known here.

    Attributes
    ----------
    incarnation : str
        The incarnation that ended.
    service : str
    group : str
        Its rank group; empty where it has none.
    noted_ms : int
    suspects : dict of Suspect to None
        The requests that ran there, in the order in which they became known.
    """

    incarnation: str
    service: str
    group: str
    noted_ms: int
    suspects: dict[Suspect, None] = dataclasses.field(default_factory=dict)

    @property
    def keys(self) -> frozenset[str]:
        """The fingerprints of all suspects."""
        return frozenset(
            itertools.chain.from_iterable(one.keys for one in self.suspects)
        )

    def discard(self, key: str) -> None:
        """Drop a fingerprint from all suspects, and those that have no other."""
        left = (Suspect(one.team, one.keys - {key}) for one in self.suspects)
        self.suspects = {one: None for one in left if one.keys}


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """What the requests that cause a series of crashes have in common.

    Attributes
    ----------
    keys : frozenset of str
        Fingerprints that all of them have.
    team : str
        Fingerprint of their team; empty if they are of several.
    """

    keys: frozenset[str]
    team: str = ""

    def matches(self, keys: t.AbstractSet[str], team: str) -> bool:
        """Return whether a request with these fingerprints is of this kind."""
        return self.keys <= keys and self.team in ("", team)


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """A pattern, and the crashes at which such requests ran, in the order of time."""

    pattern: Pattern
    crashes: tuple[Crash, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The causes of some crashes, and the crashes without one."""

    causes: tuple[Cause, ...]
    unexplained: tuple[Crash, ...]

    def hold_until_ms(self, cause: Cause) -> int:
        """Return until when requests of a cause are held back.

        As many crashes without a cause around the same time make it doubtful, as when
        all upstreams of a service crash for another reason. It is held for a short time
        then, and for longer if it goes on being there.
        """
        first, last = cause.crashes[0], cause.crashes[-1]
        others = sum(
            crash.service == last.service
            and first.noted_ms - DOUBT_WINDOW_MS <= crash.noted_ms
            and crash.noted_ms <= last.noted_ms + DOUBT_WINDOW_MS
            for crash in self.unexplained
        )
        if others < len(cause.crashes):
            return last.noted_ms + HOLD_MS
        doublings = max(0, len(cause.crashes) - MAX_CRASHES)
        return last.noted_ms + min(DOUBTFUL_HOLD_MS << doublings, HOLD_MS)


def explain_crashes(
    crashes: t.Collection[Crash],
    was_answered: t.Callable[[str, int], bool],
    known: t.Collection[Pattern] = (),
) -> Explanation:
    """Find what explains a series of crashes.

    Parameters
    ----------
    crashes : collection of Crash
        In the order of time.
    was_answered : callable
        Returns whether a fingerprint had a complete answer shortly before a time in ms.
    known : collection of Pattern, optional
        Causes that were found before.

    Notes
    -----
    The fingerprint at most crashes is taken for their cause, then the one at most of
    the others, and so on: what merely ran beside a cause isn't suspected for its
    crashes.

    Fingerprints at exactly the same crashes can't be told apart. Those of one request
    form one pattern, so that requests with only some of them are still served, and show
    which of them are sound. Those of different requests wait for one more crash.

    Requests of two causes may run at the same crash. A cause that is known stays one if
    it is at fewer of the other crashes.
    """
    left = list(crashes)
    known_keys = frozenset(itertools.chain.from_iterable(one.keys for one in known))
    causes: list[Cause] = []
    undecided: set[str] = set()
    while True:
        found = {
            key: those
            for key, those in _crashes_by_key(left).items()
            if key not in undecided
            and (
                _is_cause(those, was_answered(key, those[0].noted_ms))
                or (key in known_keys and len(those) >= MIN_OWN_CRASHES)
            )
        }
        if not found:
            return Explanation(tuple(causes), tuple(left))
        best = max(found.values(), key=lambda those: (len(those), those[-1].noted_ms))
        tied = frozenset(key for key, those in found.items() if those == best)
        patterns = _patterns(best, tied)
        if len(patterns) > 1 and len(best) <= MAX_CRASHES:
            undecided |= tied
            continue
        causes += [Cause(one, _crashes_under(one, crashes)) for one in patterns]
        left = [crash for crash in left if crash not in best]


def most_suspected(crashes: t.Iterable[Crash], exempt: t.Container[str]) -> set[str]:
    """Return the fingerprints that are at most of some crashes, without exempt ones."""
    by_key = {
        key: len(those)
        for key, those in _crashes_by_key(crashes).items()
        if key not in exempt
    }
    most = max(by_key.values(), default=0)
    return {key for key, count in by_key.items() if count == most}


def _crashes_by_key(crashes: t.Iterable[Crash]) -> dict[str, list[Crash]]:
    by_key: dict[str, list[Crash]] = {}
    for crash in crashes:
        for key in crash.keys:
            by_key.setdefault(key, []).append(crash)
    return by_key


def _is_cause(crashes: t.Sequence[Crash], was_answered: bool) -> bool:
    if not was_answered:
        return len(crashes) >= MAX_CRASHES
    span_ms = crashes[-1].noted_ms - crashes[0].noted_ms
    return (
        len(crashes) >= MAX_CRASHES_AFTER_ANSWER and span_ms >= MIN_SPAN_AFTER_ANSWER_MS
    )


def _crashes_under(pattern: Pattern, crashes: t.Iterable[Crash]) -> tuple[Crash, ...]:
    """Return the crashes at which requests of a pattern ran."""
    return tuple(
        crash
        for crash in crashes
        if any(pattern.keys <= suspect.keys for suspect in crash.suspects)
    )


def _patterns(crashes: t.Sequence[Crash], tied: frozenset[str]) -> list[Pattern]:
    """Return the patterns that the tied fingerprints of some crashes form.

    Requests of a pattern ran at each of the crashes.
    """
    suspects = list(itertools.chain.from_iterable(one.suspects for one in crashes))
    combined = {tied & suspect.keys for suspect in suspects} - {frozenset()}
    singles = {frozenset((key,)) for key in tied}
    possible = {
        keys
        for keys in combined | singles
        if len(_crashes_under(Pattern(keys), crashes)) == len(crashes)
    }
    largest = [keys for keys in possible if not any(keys < other for other in possible)]
    return [
        Pattern(keys, _common_team(one.team for one in suspects if keys <= one.keys))
        for keys in sorted(largest, key=sorted)
    ]


def _common_team(teams: t.Iterable[str]) -> str:
    distinct = set(teams)
    return distinct.pop() if len(distinct) == 1 else ""
