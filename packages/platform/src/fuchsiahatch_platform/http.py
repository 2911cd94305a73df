"""JSON calls to platform services, with time limits and typed errors."""

import asyncio
import json
import typing as t

import treq
from twisted.internet import reactor
from twisted.web.client import Agent, HTTPConnectionPool

from fuchsiahatch_core.exceptions import PlatformError

_STATUS_CLIENT_FAULT = 400


class HttpCaller:
    """Keeps one connection pool and makes JSON calls over it.

    Parameters
    ----------
    timeout_ms : int
        Time that one call may take.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_agent", "_pool", "_timeout_ms")

    def __init__(self, timeout_ms: int = 1_000) -> None:
        self._timeout_ms = timeout_ms
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = 8
        # A retry inside the pool would repeat a write whose answer was lost.
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=self._pool, connectTimeout=timeout_ms / 1000)

    async def call(
        self,
        method: str,
        url: str,
        body: t.Any = None,
        timeout_ms: int | None = None,
    ) -> t.Any:
        """Make one call and return the decoded JSON answer.

        Raises
        ------
        PlatformError
            When there is no answer in time, or not a usable one.
        """
        limit_ms = self._timeout_ms if timeout_ms is None else timeout_ms
        try:
            return await asyncio.wait_for(
                self._call(method, url, body), limit_ms / 1000
            )
        except PlatformError:
            raise
        except Exception as fault:
            raise PlatformError(f"{method} {url}: {type(fault).__name__}") from fault

    async def _call(self, method: str, url: str, body: t.Any) -> t.Any:
        loop = asyncio.get_running_loop()
        data = None if body is None else json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        requested = treq.request(
            method, url, data=data, headers=headers, agent=self._agent
        )
        response = await requested.asFuture(loop)
        content = await treq.content(response).asFuture(loop)
        if response.code >= _STATUS_CLIENT_FAULT:
            detail = content[:200].decode("utf-8", "replace")
            raise PlatformError(f"{method} {url}: status {response.code}: {detail}")
        return json.loads(content) if content else None

    async def close(self) -> None:
        """Close the kept connections."""
        closing = self._pool.closeCachedConnections()
        await closing.asFuture(asyncio.get_running_loop())
