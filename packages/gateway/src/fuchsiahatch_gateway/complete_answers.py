"""When the fingerprints of requests last had a complete answer."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.clock import Clock

#: Time after a complete answer in which its fingerprints are hardly suspected.
COMPLETE_ANSWER_TTL_MS = 60_000
#: Fingerprints that are remembered, some 200 bytes each. The oldest are dropped first.
MAX_COMPLETE_ANSWERS = 16_384


class CompleteAnswers:
    """Complete answers at any entry, as far as this one knows of them.

    Parameters
    ----------
    clock : Clock
    """

    __slots__ = ("_answered_ms", "_clock")

    def __init__(self, clock: "Clock") -> None:
        self._clock = clock
        self._answered_ms: dict[str, int] = {}

    def note(self, key: str, age_ms: int = 0) -> bool:
        """Note a complete answer to a request with a fingerprint.

        Returns
        -------
        is_latest : bool
            Whether no later one is known.
        """
        answered_ms = self._clock.now_ms() - age_ms
        if self.is_since(key, answered_ms):
            return False
        self._answered_ms.pop(key, None)
        self._answered_ms[key] = answered_ms
        while len(self._answered_ms) > MAX_COMPLETE_ANSWERS:
            del self._answered_ms[next(iter(self._answered_ms))]
        return True

    def age_ms(self, key: str) -> int:
        """Return the age of a fingerprint's latest complete answer.

        Raises
        ------
        KeyError
        """
        return self._clock.now_ms() - self._answered_ms[key]

    def is_recent(self, key: str) -> bool:
        """Return whether a fingerprint had a complete answer lately."""
        return self.is_shortly_before(key, self._clock.now_ms())

    def is_since(self, key: str, moment_ms: int) -> bool:
        """Return whether a fingerprint had a complete answer at a moment or later."""
        answered_ms = self._answered_ms.get(key)
        return answered_ms is not None and answered_ms >= moment_ms

    def is_shortly_before(self, key: str, moment_ms: int) -> bool:
        """Return whether the latest complete answer came not long before a moment."""
        answered_ms = self._answered_ms.get(key)
        return (
            answered_ms is not None and moment_ms - answered_ms < COMPLETE_ANSWER_TTL_MS
        )
