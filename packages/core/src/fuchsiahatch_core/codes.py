"""Numbered result codes; docs/CODES.md holds the table operators read."""

import enum


class Code(enum.IntEnum):
    """Result codes, grouped by hundreds: caller, place, delivery, platform.

    Notes
    -----
    .. versionadded:: 0.1
    """

    OK = 0

    # The caller's request is at fault; nothing was run.
    BAD_REQUEST = 100
    BODY_TOO_LARGE = 101
    BAD_BODY = 102
    BAD_HEADER = 103
    UNKNOWN_TEAM = 104
    UNKNOWN_TARGET = 105
    KEY_REUSED = 106
    BAD_TICKET = 107
    NOT_FOUND = 108

    # The request may not or can't be placed now; nothing was run.
    NO_ALLOWED_PLACE = 200
    NO_LIVE_UPSTREAM = 201
    OVERLOADED = 202
    DEADLINE_TOO_NEAR = 203
    LEAVING = 204
    NOT_FRESH = 205
    STALE_REVISION = 206
    TEAM_CLOSED = 207
    RETRY_BUDGET_SPENT = 208
    # The home has no memory left for another key of this team.
    LEDGER_FULL = 209
    # All upstreams name the rate that they take, and it is reached.
    RATE_REACHED = 210
    # Upstreams have crashed under this very request.
    CRASHES_UPSTREAMS = 211
    # All upstreams have asked for a backoff period that ends later.
    BACKING_OFF = 212
    # All upstreams are in zones that the operator has drained.
    ZONE_DRAINED = 213

    # What became of an attempt.
    NOT_RUN = 300
    UNKNOWN = 301
    TRUNCATED = 302
    DEADLINE_PASSED = 303
    CANCELLED = 304
    UPSTREAM_FAILED = 305
    FENCED = 306
    WRONG_HOME = 307
    IN_PROGRESS = 308
    # The ticket is so old that the home may have forgotten the key.
    TICKET_EXPIRED = 309
    # The key ran; its answer was too long to keep.
    ANSWER_NOT_KEPT = 310
    # The key's home is gone and this try was not sent; earlier tries may have been.
    HOME_GONE = 311

    # Configuration and the platform's services.
    SETTINGS_INVALID = 400
    RECORD_INVALID = 401
    CONFLICT = 402
    PENDING = 403
    SERVICE_UNAVAILABLE = 404
    AMBIGUOUS_WRITE = 405
    REVERT_REFUSED = 406
    SCHEMA_UNKNOWN = 407
    CALL_BUDGET_SPENT = 408
    DOCUMENT_TOO_LARGE = 409
    # What another program wrote doesn't have the documented form.
    FORM_UNKNOWN = 410
    # A call that changes nothing had no whole answer in time.
    UNANSWERED_READ = 411

    # Steps of a rank group.
    OLD_TERM = 500
    OLD_INCARNATION = 501
    NO_GRANT = 502
    WEIGHTS_MISSING = 503
    OLD_EPOCH = 504

    INTERNAL = 900
