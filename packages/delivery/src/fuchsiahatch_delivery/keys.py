"""Names of what runs at most once, and fingerprints of what was asked for."""

import dataclasses
import hashlib
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.identities import AttemptId

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LedgerKey:
    """What a home remembers a request by; teams never share one."""

    team: str
    text: str


def text_of_key(key: str) -> str:
    """Return the ledger's text for a caller's idempotency key."""
    return f"key/{key}"


def text_of_attempt(attempt: "AttemptId") -> str:
    """Return the ledger's text for a non-idempotent request without a key."""
    return f"attempt/{attempt}"


def fingerprint_of(method: str, path: str, target: str, body: bytes) -> bytes:
    """Digest what makes two requests the same.

    Each part goes in behind its length, so that no two requests run together.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
