"""JSON calls to platform services, with timeouts and typed errors."""

import asyncio
import contextlib
import json
import typing as t

import treq
from twisted.internet import endpoints, error, protocol, reactor
from twisted.protocols import basic
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from fuchsiahatch_core.exceptions import PlatformError, UnsentError

if t.TYPE_CHECKING:
    from twisted.python.failure import Failure
    from twisted.web.client import URI
    from twisted.web.iweb import IResponse

_BAD_REQUEST = 400
# Holds a value of a megabyte, in base64 and with its JSON envelope.
_MAX_LINE_BYTES = 2_097_152
_CONNECT_ERRORS = (error.ConnectError, error.TimeoutError)


@implementer(IAgentEndpointFactory)
class IPv4Endpoints:
    """Connects to IPv4 addresses without a resolver, which would start threads.

    Parameters
    ----------
    timeout_ms : int
        Timeout for establishing a connection.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_s = timeout_ms / 1000

    def endpointForURI(self, uri: "URI") -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URI whose host is an IPv4 address."""
        host = uri.host.decode()
        return endpoints.TCP4ClientEndpoint(reactor, host, uri.port, self._timeout_s)


class HttpCaller:
    """Makes JSON calls over a connection pool.

    Parameters
    ----------
    timeout_ms : int
        Default timeout of a call.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Total size of bodies so far, without HTTP headers.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_agent", "_pool", "_timeout_ms", "received_bytes", "sent_bytes")

    def __init__(self, timeout_ms: int = 1_000) -> None:
        self._timeout_ms = timeout_ms
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = 8
        # A retry by the pool would repeat a write whose answer was lost.
        self._pool.retryAutomatically = False
        factory = IPv4Endpoints(timeout_ms)
        self._agent = Agent.usingEndpointFactory(reactor, factory, self._pool)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def call(
        self,
        method: str,
        url: str,
        body: t.Any = None,
        timeout_ms: int | None = None,
    ) -> t.Any:
        """Make a call and return the decoded JSON answer.

        Raises
        ------
        UnsentError
            When no connection was established, so the call had no effect.
        PlatformError
            When there is no usable answer within the timeout.
        """
        limit_ms = self._timeout_ms if timeout_ms is None else timeout_ms
        try:
            return await asyncio.wait_for(
                self._call(method, url, body), limit_ms / 1000
            )
        except PlatformError:
            raise
        except Exception as fault:
            raise _platform_error(method, url, fault) from fault

    async def lines(
        self,
        method: str,
        url: str,
        body: t.Any = None,
        idle_ms: int | None = None,
    ) -> t.AsyncIterator[t.Any]:
        """Make a call and yield the JSON lines of its answer until the answer ends.

        An answer that is cut off ends like a complete one.

        Parameters
        ----------
        method, url : str
        body : object, optional
        idle_ms : int, optional
            Pause after which the answer counts as ended.

        Raises
        ------
        PlatformError
            When there is no usable answer.
        """
        try:
            response = await asyncio.wait_for(
                self._request(method, url, body), self._timeout_ms / 1000
            )
            if response.code >= _BAD_REQUEST:
                await self._read_whole(method, url, response)
            async with contextlib.aclosing(
                self._iterate_lines(response, idle_ms)
            ) as lines:
                async for line in lines:
                    yield json.loads(line)
        except PlatformError:
            raise
        except Exception as fault:
            raise _platform_error(method, url, fault) from fault

    async def close(self) -> None:
        """Close the idle connections."""
        closing = self._pool.closeCachedConnections()
        await closing.asFuture(asyncio.get_running_loop())

    async def _call(self, method: str, url: str, body: t.Any) -> t.Any:
        response = await self._request(method, url, body)
        return await self._read_whole(method, url, response)

    async def _request(self, method: str, url: str, body: t.Any) -> "IResponse":
        data = None if body is None else json.dumps(body).encode()
        self.sent_bytes += len(data or b"")
        headers = {"Content-Type": "application/json"}
        requested = treq.request(
            method,
            url,
            data=data,
            headers=headers,
            agent=self._agent,
            unbuffered=True,
        )
        return await requested.asFuture(asyncio.get_running_loop())

    async def _read_whole(self, method: str, url: str, response: "IResponse") -> t.Any:
        loop = asyncio.get_running_loop()
        content = await treq.content(response).asFuture(loop)
        self.received_bytes += len(content)
        if response.code >= _BAD_REQUEST:
            detail = content[:500].decode("utf-8", "replace")
            raise PlatformError(f"{method} {url}: status {response.code}: {detail}")
        return json.loads(content) if content else None

    async def _iterate_lines(
        self, response: "IResponse", idle_ms: int | None
    ) -> t.AsyncIterator[bytes]:
        lines = _LineQueue()
        response.deliverBody(lines)
        try:
            while (line := await lines.next(idle_ms)) is not None:
                self.received_bytes += len(line)
                yield line
        finally:
            # Otherwise an abandoned watch would stay open at the service and count
            # there for ever.
            lines.abort()


class _LineQueue(basic.LineOnlyReceiver):
    """Queues the lines of an answer; None marks its end, clean or not."""

    delimiter = b"\n"
    MAX_LENGTH = _MAX_LINE_BYTES

    def __init__(self) -> None:
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def next(self, idle_ms: int | None) -> bytes | None:
        limit_s = None if idle_ms is None else idle_ms / 1000
        try:
            return await asyncio.wait_for(self.queue.get(), limit_s)
        except TimeoutError:
            return None

    def lineReceived(self, line: bytes) -> None:
        self.queue.put_nowait(line)

    def connectionLost(self, reason: "Failure" = protocol.connectionDone) -> None:
        self.queue.put_nowait(None)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


def _platform_error(method: str, url: str, fault: Exception) -> PlatformError:
    detail = f"{method} {url}: {type(fault).__name__}"
    if isinstance(fault, _CONNECT_ERRORS):
        return UnsentError(detail)
    return PlatformError(detail)
