"""The crashes of upstreams that an entry knows of, and the suspects of each."""

import itertools
import typing as t

from fuchsiahatch_gateway.crash_evidence import Crash, Suspect

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock
    from fuchsiahatch_gateway.complete_answers import CompleteAnswers

#: Time for which a crash counts.
SUSPECT_TTL_MS = 3_600_000
#: Suspected fingerprints, and crashes, that are remembered, some 900 bytes each. The
#: oldest are dropped first.
MAX_SUSPECTS = 4_096


class CrashRecords:
    """Crashes by incarnation, in the order of time, and by the suspects' fingerprints.

    Parameters
    ----------
    clock : Clock
    answers : CompleteAnswers
        Fingerprints aren't suspected for the crashes before their complete answers.
    """

    __slots__ = ("_answers", "_by_incarnation", "_by_key", "_clock")

    def __init__(self, clock: "Clock", answers: "CompleteAnswers") -> None:
        self._clock = clock
        self._answers = answers
        self._by_incarnation: dict[str, Crash] = {}
        self._by_key: dict[str, list[Crash]] = {}

    def __iter__(self) -> t.Iterator[Crash]:
        return iter(self._by_incarnation.values())

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._by_incarnation

    @property
    def keys(self) -> t.KeysView[str]:
        """The suspected fingerprints."""
        return self._by_key.keys()

    def of(self, key: str) -> t.Sequence[Crash]:
        """Return the crashes for which a fingerprint is suspected."""
        return self._by_key.get(key, ())

    def find(self, incarnation: str) -> Crash:
        """Return the crash of an incarnation.

        Raises
        ------
        KeyError
        """
        return self._by_incarnation[incarnation]

    def add(self, crash: Crash, suspects: t.Iterable[Suspect]) -> list[Suspect]:
        """Add what is known of a crash; return the suspects that are new."""
        self._drop_expired()
        crash = self._by_incarnation.get(crash.incarnation) or self._insert(crash)
        unanswered = (
            Suspect(
                one.team,
                frozenset(
                    key
                    for key in one.keys
                    if not self._answers.is_since(key, crash.noted_ms)
                ),
            )
            for one in suspects
        )
        added = [one for one in unanswered if one.keys and one not in crash.suspects]
        for suspect in added:
            self._link(crash, suspect)
        while max(len(self._by_key), len(self._by_incarnation)) > MAX_SUSPECTS:
            self._drop_oldest_suspect()
        return added

    def clear(self, keys: t.Iterable[str], force: bool = False) -> dict[str, set[str]]:
        """Drop fingerprints from the suspects of the crashes before their answers.

        Parameters
        ----------
        keys : iterable of str
        force : bool, optional
            Whether to drop them from all crashes.

        Returns
        -------
        services : dict of str to set of str
            The services of these crashes, by the fingerprints that were dropped.
        """
        services: dict[str, set[str]] = {}
        for key in keys:
            for crash in tuple(self.of(key)):
                if force or self._answers.is_since(key, crash.noted_ms):
                    crash.discard(key)
                    self._unlink(crash, key)
                    services.setdefault(key, set()).add(crash.service)
        return services

    def related(self, crash: Crash, keys: frozenset[str]) -> list[Crash]:
        """Return earlier crashes of the same service with some of the fingerprints."""
        found = dict.fromkeys(itertools.chain.from_iterable(map(self.of, sorted(keys))))
        others = [
            one for one in found if one is not crash and one.service == crash.service
        ]
        return sorted(others, key=lambda one: one.noted_ms)

    def _insert(self, crash: Crash) -> Crash:
        """Add a crash in the order of time; notices may come late."""
        latest = next(reversed(self._by_incarnation.values()), None)
        self._by_incarnation[crash.incarnation] = crash
        if latest is not None and latest.noted_ms > crash.noted_ms:
            ordered = sorted(self, key=lambda one: one.noted_ms)
            self._by_incarnation = {one.incarnation: one for one in ordered}
        return crash

    def _link(self, crash: Crash, suspect: Suspect) -> None:
        crash.suspects[suspect] = None
        for key in suspect.keys:
            those = self._by_key.setdefault(key, [])
            if crash not in those:
                those.append(crash)
                those.sort(key=lambda one: one.noted_ms)

    def _unlink(self, crash: Crash, key: str) -> None:
        those = self._by_key[key]
        those.remove(crash)
        if not those:
            del self._by_key[key]

    def _drop_oldest_suspect(self) -> None:
        crash = next(iter(self))
        suspect = next(iter(crash.suspects), None)
        if suspect is None:
            del self._by_incarnation[crash.incarnation]
            return
        del crash.suspects[suspect]
        for key in suspect.keys - crash.keys:
            self._unlink(crash, key)

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        expired = itertools.takewhile(
            lambda crash: now_ms - crash.noted_ms > SUSPECT_TTL_MS, self
        )
        for crash in list(expired):
            del self._by_incarnation[crash.incarnation]
            for key in crash.keys:
                self._unlink(crash, key)
