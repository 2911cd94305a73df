"""Upstreams that crash when they get a certain request, and restart shortly after."""

import asyncio
import contextlib

from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream
from tests.gateway.sites import answers

DEADLY = b"a prompt that ends whoever reads it"


def has_deadly_body(request):
    """Return whether a request is the deadly one, by its body."""
    return request.body == DEADLY


class MortalUpstream(ScriptedUpstream):
    """An upstream that crashes when it gets a deadly request.

    It closes all its connections then.

    Parameters
    ----------
    site : Site
        The site in whose store it registers.
    name : str
        Prefix of its instance names; each incarnation has a number.
    back_s : float, optional
        Time until it restarts, as a new instance at the same address.
    script : coroutine function, optional
        Answers the requests that aren't deadly.
    is_deadly : callable, optional
        Returns whether a received request is deadly.
    crash_after_s : float, optional
        Time from the receipt of a deadly request to the crash.
    goes_on : bool, optional
        Whether it crashes also if the request's connection has ended before.
    """

    def __init__(
        self,
        site,
        name,
        back_s=0.2,
        script=None,
        is_deadly=has_deadly_body,
        crash_after_s=0.0,
        goes_on=False,
    ):
        super().__init__(self._work)
        self.is_deadly, self.crash_after_s = is_deadly, crash_after_s
        self.goes_on = goes_on
        self.site, self.name, self.back_s = site, name, back_s
        self.script = script or answers()
        self.incarnations, self.port = 0, 0
        self._writers = set()
        self._is_closed = False

    async def start(self):
        self.port = await self.listen(port=self.port)
        self.incarnations += 1
        self.site.put_upstream(self.instance, self.port)

    @property
    def instance(self):
        return f"{self.name}-{self.incarnations}"

    async def end(self):
        """Close everything as a crashed process does, and restart after `back_s`."""
        await super().close()
        for writer in self._writers:
            writer.close()
        former = self.instance
        await asyncio.sleep(self.back_s)
        if self._is_closed:
            return
        self.site.store.remove(f"servers/{former}")
        await self.start()

    async def close(self):
        """Close for good; an upstream that has crashed doesn't restart."""
        self._is_closed = True
        await super().close()

    async def _end_later(self):
        await asyncio.sleep(self.crash_after_s)
        await self.end()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _work(self, request, wire):
        if self.is_deadly(request):
            if self.goes_on:
                self.ending = asyncio.ensure_future(self._end_later())
                await asyncio.sleep(30)
            await asyncio.sleep(self.crash_after_s)
            self.ending = asyncio.ensure_future(self.end())
            await asyncio.sleep(30)
        await self.script(request, wire)


def deadly_sends(upstreams):
    """Return how often the deadly request reached an upstream."""
    return sum(one.is_deadly(request) for one in upstreams for request in one.received)
