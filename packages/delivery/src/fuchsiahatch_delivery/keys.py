"""Ledger keys of requests that run at most once, and fingerprints of requests."""

import dataclasses
import hashlib
import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_core.identities import AttemptId

_DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LedgerKey:
    """Key of a request in a home's ledger; teams never share one."""

    team: str
    text: str


def text_of_key(key: str) -> str:
    """Return the ledger's text for a caller's idempotency key."""
    return f"key/{key}"


def text_of_attempt(attempt: "AttemptId") -> str:
    """Return the ledger's text for a non-idempotent request without a key."""
    return f"attempt/{attempt}"


def fingerprint_of(method: str, path: str, target: str, body: bytes) -> bytes:
    """Return a digest that is the same for repetitions of a request.

    Each part is preceded by its length, so that different requests never give the
    same input.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), path.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
