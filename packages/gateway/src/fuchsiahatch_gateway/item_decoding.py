"""Decodes items of the store into typed values and skips unreadable ones."""

import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item

T = t.TypeVar("T")


class ItemDecoder(t.Generic[T]):
    """Decodes the items under one prefix, each only once until it changes.

    Parameters
    ----------
    decode : callable
        Returns the value of an item's name and bytes; raises `FormError`.

    Attributes
    ----------
    unreadable : int
        Items skipped so far.

    Notes
    -----
    Guards against items from other writers, which may hold anything: an unreadable item
    is left out, logged once and not at each change of another item, and doesn't affect
    the others.
    """

    __slots__ = ("_decode", "_decoded", "unreadable")

    def __init__(self, decode: t.Callable[[str, bytes], T]) -> None:
        self._decode = decode
        self._decoded: dict[str, tuple[Item, T | None]] = {}
        self.unreadable = 0

    def decode_all(self, items: t.Mapping[str, "Item"]) -> dict[str, T]:
        """Return the values of all readable items, by name."""
        self._decoded = {name: self._read(name, item) for name, item in items.items()}
        return {
            name: value
            for name, (_, value) in self._decoded.items()
            if value is not None
        }

    def _read(self, name: str, item: "Item") -> "tuple[Item, T | None]":
        decoded = self._decoded.get(name)
        if decoded is not None and decoded[0] == item:
            return decoded
        try:
            return item, self._decode(name, item.value or b"")
        except FormError as fault:
            self.unreadable += 1
            log_event(
                Event.ITEM_UNREADABLE,
                item=name,
                revision=item.revision,
                code=int(fault.result),
                detail=fault.detail,
            )
            return item, None
