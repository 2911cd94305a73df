"""One run's answer as it comes, for every caller that waits for the same key."""

import asyncio
import typing as t

from fuchsiahatch_delivery.ledger import KeptAnswer
from fuchsiahatch_wire import attempts_pb2

if t.TYPE_CHECKING:
    from fuchsiahatch_core.exceptions import FuchsiahatchError

Part = attempts_pb2.Head | bytes
Parts = t.AsyncIterator[Part]


class Recording:
    """Takes the parts of an answer and hands them to any number of followers.

    Notes
    -----
    A keyed run writes here and not to its caller's connection: when that breaks,
    the run goes on and a retry finds the whole answer.

    .. versionadded:: 0.1
    """

    __slots__ = ("_changed", "_closed", "_fault", "_parts")

    def __init__(self) -> None:
        self._parts: list[Part] = []
        self._closed = False
        self._fault: FuchsiahatchError | None = None
        self._changed = asyncio.Event()

    def add(self, part: Part) -> None:
        """Add the next part."""
        self._parts.append(part)
        self._wake()

    def close(self) -> None:
        """Note that the answer is whole."""
        self._closed = True
        self._wake()

    def fail(self, fault: "FuchsiahatchError") -> None:
        """End with an error; the first end holds."""
        if self._closed:
            return
        self._fault = fault
        self.close()

    async def parts(self) -> Parts:
        """Yield the parts from the first on.

        Raises
        ------
        FuchsiahatchError
            When the run was refused or broke off.
        """
        position = 0
        while True:
            changed = self._changed
            while position < len(self._parts):
                yield self._parts[position]
                position += 1
            if changed is not self._changed:
                continue
            if self._closed:
                break
            await changed.wait()
        if self._fault is not None:
            raise self._fault

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def replay(answer: KeptAnswer) -> Parts:
    """Yield the parts of a kept answer."""
    yield make_head(answer.status, answer.headers)
    for piece in answer.pieces:
        yield piece


def make_head(status: int, headers: t.Iterable[tuple[str, str]]) -> attempts_pb2.Head:
    """Put an answer's head into its message."""
    rows = (attempts_pb2.Header(name=name, value=value) for name, value in headers)
    return attempts_pb2.Head(status=status, headers=rows)
