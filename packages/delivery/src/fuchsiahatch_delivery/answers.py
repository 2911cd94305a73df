"""Integrity of answers: length and digest of the pieces, checked at the end."""

import xxhash

from fuchsiahatch_core.codes import Code
from fuchsiahatch_core.exceptions import AttemptError


class AnswerMeter:
    """Counts and digests the pieces of one answer.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_digest", "length_bytes")

    def __init__(self) -> None:
        self._digest = xxhash.xxh3_128()
        self.length_bytes = 0

    def add(self, piece: bytes) -> None:
        """Count one piece."""
        self._digest.update(piece)
        self.length_bytes += len(piece)

    def digest(self) -> bytes:
        """Return the digest of all pieces so far."""
        return self._digest.digest()

    def check(self, length_bytes: int, digest: bytes) -> None:
        """Compare with the length and digest of the sender.

        Raises
        ------
        AttemptError
            When a piece was lost, duplicated or changed on the way.
        """
        if (length_bytes, digest) != (self.length_bytes, self.digest()):
            detail = f"{self.length_bytes} bytes came of {length_bytes} that were sent"
            raise AttemptError(detail, Code.TRUNCATED)
