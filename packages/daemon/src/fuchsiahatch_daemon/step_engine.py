"""Orders to the rank's engine beside an agent, over HTTP with JSON."""

import dataclasses
import typing as t

from fuchsiahatch_core.exceptions import PlatformError
from fuchsiahatch_experts.grants import EngineState, Order, Window

if t.TYPE_CHECKING:
    from fuchsiahatch_platform.http import HttpCaller


class StepEngine:
    """Gives one engine its orders.

    Parameters
    ----------
    url : str
        Base address of the engine.
    caller : HttpCaller
        Makes the calls.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_caller", "_url")

    def __init__(self, url: str, caller: "HttpCaller") -> None:
        self._url = url.rstrip("/")
        self._caller = caller

    async def order(self, order: Order) -> EngineState | None:
        """Give an order; None when its fencing number is old.

        Raises
        ------
        PlatformError
            When no answer came; the order may still be carried out.
        """
        body = dataclasses.asdict(order)
        answer = await self._caller.call("POST", self._url + "/steps/orders", body)
        try:
            return None if answer["refused"] else read_state(answer["state"])
        except (KeyError, TypeError) as fault:
            # Left to itself it would end the task and keep the gate shut for ever.
            raise PlatformError(f"the engine's answer: {fault!r}") from fault

    async def load_weights(self, map_version: int) -> None:
        """Have the engine fetch a map's weights from the weight store."""
        body = {"map_version": map_version}
        await self._caller.call("POST", self._url + "/steps/weights", body)


def read_state(document: dict[str, t.Any]) -> EngineState:
    """Return the engine's state out of its JSON form."""
    return EngineState(
        document["epoch"],
        document["step"],
        read_window(document["granted"]),
        frozenset(document["weights"]),
        document["compute_ms"],
    )


def read_window(document: dict[str, t.Any] | None) -> Window | None:
    """Return a window out of its JSON form."""
    return None if document is None else Window(**document)
