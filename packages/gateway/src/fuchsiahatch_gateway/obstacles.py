"""Reasons for which an upstream gets no new requests."""

import enum


class Obstacle(enum.Enum):
    """Why an upstream may not be sent new requests.

    Attributes
    ----------
    NOT_ALLOWED
        Its zone is in no region in which the request may be handled.
    DEPARTED
        It leaves, or another upstream answers at its address. This is final for its
        incarnation.
    ZONE_DRAINED
        The operator has drained its zone.
    CLOSED
        It or its rank group isn't working, or its first load report is awaited.
    BACKING_OFF
        It has asked for a backoff period, which hasn't ended.
    """

    NOT_ALLOWED = enum.auto()
    DEPARTED = enum.auto()
    ZONE_DRAINED = enum.auto()
    CLOSED = enum.auto()
    BACKING_OFF = enum.auto()
