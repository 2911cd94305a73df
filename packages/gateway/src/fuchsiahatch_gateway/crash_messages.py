"""Messages between entries on crashes of upstreams and the requests that ran there."""

import typing as t

import msgspec

#: Crashes that are reported of one request, the most recent ones.
MAX_CRASHES_REPORTED = 8
#: Suspects that are reported of one crash, and the fingerprints of each.
MAX_SUSPECTS_REPORTED = 32
MAX_KEYS = 32
#: Complete answers that are reported at once.
MAX_ANSWERS_REPORTED = 256
_Fingerprint = t.Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
_TeamFingerprint = t.Annotated[str, msgspec.Meta(max_length=64)]
_Incarnation = t.Annotated[str, msgspec.Meta(max_length=128)]
_Keys = t.Annotated[
    tuple[_Fingerprint, ...], msgspec.Meta(min_length=1, max_length=MAX_KEYS)
]
_Count = t.Annotated[int, msgspec.Meta(ge=0)]


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """One request that ran on an upstream as it crashed.

    Attributes
    ----------
    team : str
        Fingerprint of its team.
    keys : tuple of str
        Fingerprints of the request and of the parts of its prompt.
    """

    team: _TeamFingerprint
    keys: _Keys


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One crash of an upstream, and requests that ran there.

    Attributes
    ----------
    incarnation : str
        The incarnation that ended.
    group : str
        Its rank group; empty where it has none.
    age_ms : int
        How long the sender has known of the crash.
    suspects : tuple of SuspectReport
    """

    incarnation: _Incarnation
    group: str
    age_ms: _Count
    suspects: t.Annotated[
        tuple[SuspectReport, ...], msgspec.Meta(max_length=MAX_SUSPECTS_REPORTED)
    ]


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Notifies other entries that upstreams have crashed while they ran requests.

    Attributes
    ----------
    service : str
    crashes : tuple of CrashReport
        The one that the sender has detected, and earlier ones with the same suspects,
        so that the next notice makes up for a lost one.
    """

    service: str
    crashes: t.Annotated[
        tuple[CrashReport, ...], msgspec.Meta(max_length=MAX_CRASHES_REPORTED)
    ]


class CompleteAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A complete answer to a request with a fingerprint, and its age."""

    fingerprint: _Fingerprint
    age_ms: _Count


class Clearance(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Notifies other entries that suspects have got complete answers."""

    answers: t.Annotated[
        tuple[CompleteAnswer, ...], msgspec.Meta(max_length=MAX_ANSWERS_REPORTED)
    ]
