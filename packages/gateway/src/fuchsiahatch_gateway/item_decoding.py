"""Items of the store as typed values, unreadable ones passed over."""

import typing as t

from fuchsiahatch_core.events import Event, log_event
from fuchsiahatch_core.exceptions import FormError

if t.TYPE_CHECKING:
    from fuchsiahatch_adapter.store import Item

T = t.TypeVar("T")


class ItemDecoder(t.Generic[T]):
    """Decodes the items below one prefix, each once until it changes.

    Parameters
    ----------
    decode : callable
        Makes a value of an item's name and bytes; raises `FormError`.

    Attributes
    ----------
    unreadable : int
        Items passed over so far.

    Notes
    -----
    Guards against another writer's item, which may hold anything: it names nobody, is
    logged once and not at each change of any other item, and all others hold.
    """

    __slots__ = ("_decode", "_known", "unreadable")

    def __init__(self, decode: t.Callable[[str, bytes], T]) -> None:
        self._decode = decode
        self._known: dict[str, tuple[Item, T | None]] = {}
        self.unreadable = 0

    def decode_all(self, items: t.Mapping[str, "Item"]) -> dict[str, T]:
        """Return the values of all items that can be read, by name."""
        self._known = {name: self._read(name, item) for name, item in items.items()}
        return {
            name: value for name, (_, value) in self._known.items() if value is not None
        }

    def _read(self, name: str, item: "Item") -> "tuple[Item, T | None]":
        known = self._known.get(name)
        if known is not None and known[0] == item:
            return known
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
