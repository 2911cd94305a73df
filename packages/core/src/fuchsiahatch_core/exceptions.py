"""All exceptions, under one base, each with its result code."""

import typing as t

from fuchsiahatch_core.codes import Code


class FuchsiahatchError(Exception):
    """Base of all errors.

    Parameters
    ----------
    detail : str
        What is wrong and what to change, in one sentence.
    code : Code, optional
        The result code; the class's own by default.
    retry_after_ms : int or None, optional
        When to come back, where coming back may help.

    Notes
    -----
    .. versionadded:: 0.1
    """

    code: t.ClassVar[Code] = Code.INTERNAL
    #: What it says of the request: NOT_RUN, UNKNOWN, or nothing.
    verdict: t.ClassVar[str] = ""
    #: Whether NOT_RUN holds for every try under the key, not for this one alone.
    whole_key: bool = False

    def __init__(
        self,
        detail: str,
        code: Code | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.result = self.code if code is None else code
        self.retry_after_ms = retry_after_ms

    def __str__(self) -> str:
        return f"[{self.result.value} {self.result.name}] {self.detail}"


class RequestError(FuchsiahatchError):
    """A caller's request is at fault; nothing was run."""

    code = Code.BAD_REQUEST
    verdict = "NOT_RUN"


class RefusedError(FuchsiahatchError):
    """A request can't be placed now; nothing was run."""

    code = Code.NO_LIVE_UPSTREAM
    verdict = "NOT_RUN"


class AttemptError(FuchsiahatchError):
    """An attempt did not end with a whole answer."""

    code = Code.UNKNOWN
    verdict = "UNKNOWN"


class SettingsError(FuchsiahatchError):
    """Settings or a record don't match their schema.

    Parameters
    ----------
    path : str
        Where the fault is, as ``listen.http_address``.
    value : object
        The value found there.
    allowed : str
        What would be accepted.
    """

    code = Code.SETTINGS_INVALID

    def __init__(
        self, path: str, value: object, allowed: str, code: Code | None = None
    ) -> None:
        super().__init__(f"{path}: {value!r} is not allowed; {allowed}", code)
        self.path = path
        self.value = value
        self.allowed = allowed


class PlatformError(FuchsiahatchError):
    """A platform service gave no usable answer."""

    code = Code.SERVICE_UNAVAILABLE


class FormError(PlatformError):
    """What another program wrote or sent doesn't have the documented form."""

    code = Code.FORM_UNKNOWN


class UnsentError(PlatformError):
    """A call never reached its service, so it had no effect."""


class AmbiguousWriteError(PlatformError):
    """A write's answer was lost: it may have taken effect."""

    code = Code.AMBIGUOUS_WRITE


class UnansweredReadError(PlatformError):
    """A read had no whole answer in time; it can be made again."""

    code = Code.UNANSWERED_READ


class ConflictError(FuchsiahatchError):
    """A compare-and-swap lost to another writer."""

    code = Code.CONFLICT
