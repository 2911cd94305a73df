"""Account of the bytes that a process holds of its callers' requests."""

import typing as t

#: Bytes that are held of all callers, where the host's memory isn't known.
DEFAULT_MAX_BYTES = 67_108_864
#: Part of them for the bodies of whole requests, which must be kept until their end.
HANDLED_SHARE = 0.75
#: A body in progress, and the same in what is sent to its upstream.
HANDLED_COPIES = 2
#: Bodies up to this length may take the other part, too, so that they are still served
#: while larger ones fill theirs.
SMALL_BODY_BYTES = 16_384
#: Part that is free again once room has been made, so that it isn't made for each byte.
FREED_SHARE = 1 / 16


class Holder(t.Protocol):
    """A connection that holds bytes of a request that isn't whole."""

    def give_way(self) -> None:
        """Refuse the request, and hold nothing any more."""


class ReceivedBytes:
    """Sum of the bytes that are held of all callers' requests.

    Requests that aren't whole give way where there is no room, the largest first.

    Parameters
    ----------
    max_bytes : int, optional
    """

    __slots__ = ("_handled_bytes", "_held", "_held_bytes", "_max_bytes")

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._held: dict[Holder, int] = {}
        self._held_bytes = 0
        self._handled_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes that are held now."""
        return self._held_bytes + self._handled_bytes

    @property
    def max_body_bytes(self) -> int:
        """Length of the largest body that there is ever room for."""
        return int(HANDLED_SHARE * self._max_bytes) // HANDLED_COPIES

    def note_held(self, holder: Holder, held_bytes: int) -> None:
        """Count what a connection holds beside whole requests; make room if needed."""
        self._held_bytes += held_bytes - self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        if self.total_bytes > self._max_bytes:
            self._make_room()

    def begin_handling(self, holder: Holder, body_bytes: int) -> bool:
        """Count the body of a whole request; return False if there is no room.

        The connection itself doesn't give way for it.
        """
        wanted_bytes = HANDLED_COPIES * body_bytes
        share = 1.0 if body_bytes <= SMALL_BODY_BYTES else HANDLED_SHARE
        if self._handled_bytes + wanted_bytes > share * self._max_bytes:
            return False
        self._handled_bytes += wanted_bytes
        if self.total_bytes > self._max_bytes:
            self._make_room(holder)
        return True

    def end_handling(self, body_bytes: int) -> None:
        """Count the body of a request that has ended out."""
        self._handled_bytes -= HANDLED_COPIES * body_bytes

    def _make_room(self, spared: Holder | None = None) -> None:
        excess_bytes = self.total_bytes - (1 - FREED_SHARE) * self._max_bytes
        giving_way = {
            holder: held_bytes
            for holder, held_bytes in self._held.items()
            if holder is not spared
        }
        for holder in choose_largest(giving_way, excess_bytes):
            # A connection that has closed meanwhile holds nothing any more.
            if self.note_dropped(holder):
                holder.give_way()

    def note_dropped(self, holder: Holder) -> bool:
        """Count a connection out; return whether it was counted."""
        held_bytes = self._held.pop(holder, 0)
        self._held_bytes -= held_bytes
        return bool(held_bytes)


def choose_largest(
    held: t.Mapping[Holder, int], excess_bytes: float
) -> t.Iterator[Holder]:
    """Yield those who hold most, until they hold the excess together."""
    for holder, held_bytes in sorted(held.items(), key=lambda item: -item[1]):
        if excess_bytes <= 0:
            return
        excess_bytes -= held_bytes
        yield holder
