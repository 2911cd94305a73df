"""The operators' program: `fuchsiahatch`."""

import asyncio
import json
import sys
import typing as t

import fire
from twisted.internet import asyncioreactor

_EXIT_FAULT = 1


class Operator:
    """Operators' command.

    Parameters
    ----------
    entry : str
        ``ip:port`` of any entry's HTTP address.
    """

    def __init__(self, entry: str = "127.0.0.1:18000") -> None:
        self._entry = entry

    def lookup(self) -> None:
        """Print which entries callers may use now."""
        self._print("GET", "/lookup")

    def status(self) -> None:
        """Print what the entry knows."""
        self._print("GET", "/ready")

    def drain(self, address: str) -> None:
        """Tell the process at an HTTP address to take no new work.

        Parameters
        ----------
        address : str
            ``ip:port`` of an entry or an agent.
        """
        _call("POST", f"http://{address}/drain")

    def _print(self, method: str, path: str) -> None:
        _call(method, f"http://{self._entry}{path}")


def main() -> None:
    """Parse the arguments and run."""
    fire.Fire(Operator, name="fuchsiahatch")


def _call(method: str, url: str) -> None:
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet.defer import Deferred
    from twisted.internet.task import react

    from fuchsiahatch_core.exceptions import FuchsiahatchError
    from fuchsiahatch_platform.http import HttpCaller

    async def work() -> None:
        try:
            answer: t.Any = await HttpCaller().call(method, url)
        except FuchsiahatchError as fault:
            print(f"fuchsiahatch: {fault}", file=sys.stderr)
            sys.exit(_EXIT_FAULT)
        print(json.dumps(answer, indent=2))

    react(lambda _: Deferred.fromFuture(asyncio.ensure_future(work(), loop=loop)))


if __name__ == "__main__":
    main()
