"""Sends HTTP calls at a set concurrency and measures them."""

import asyncio
import dataclasses
import itertools
import json
import time
import typing as t

import treq
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor
from twisted.web.client import Agent, HTTPConnectionPool

_US_PER_MS = 1_000
_MAX_US = 120_000_000
_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One kind of call.

    Attributes
    ----------
    method, url : str
    headers : dict of str to str
    body : bytes or None
    """

    method: str
    url: str
    headers: t.Mapping[str, str]
    body: bytes | None = None


class Figures:
    """Histograms of what was measured over one or more windows.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("failed", "first", "seconds", "whole")

    def __init__(self) -> None:
        self.whole = HdrHistogram(1, _MAX_US, _DIGITS)
        self.first = HdrHistogram(1, _MAX_US, _DIGITS)
        self.failed = 0
        self.seconds = 0.0

    def add(self, first_s: float, whole_s: float) -> None:
        """Count one answered call."""
        self.first.record_value(max(1, round(first_s * 1_000_000)))
        self.whole.record_value(max(1, round(whole_s * 1_000_000)))

    def summary(self) -> dict[str, float]:
        """Return counts, rate and percentiles in milliseconds."""
        count = self.whole.get_total_count()
        return {
            "answered": count,
            "failed": self.failed,
            "per_s": round(count / self.seconds, 1) if self.seconds else 0.0,
            "p50_ms": _percentile_ms(self.whole, 50),
            "p99_ms": _percentile_ms(self.whole, 99),
            "first_p50_ms": _percentile_ms(self.first, 50),
            "first_p99_ms": _percentile_ms(self.first, 99),
        }


class LoadTool:
    """A caller with kept connections.

    Notes
    -----
    .. versionadded:: 0.1
    """

    def __init__(self, connections: int) -> None:
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = connections
        pool.retryAutomatically = False
        self._agent = Agent(reactor, pool=pool)

    async def saturate(
        self, call: Call, concurrency: int, seconds: float, figures: Figures
    ) -> None:
        """Keep a number of calls open for some time."""
        end_s = time.monotonic() + seconds

        async def work() -> None:
            while time.monotonic() < end_s:
                await self.send(call, figures)

        await asyncio.gather(*(work() for _ in range(concurrency)))
        figures.seconds += seconds

    async def pace(
        self, call: Call, pauses_s: t.Iterable[float], seconds: float, figures: Figures
    ) -> None:
        """Send calls at the times that the pauses give, whatever the answers."""
        sent = set()
        due_s = start_s = time.monotonic()
        for pause_s in pauses_s:
            due_s += pause_s
            if due_s > start_s + seconds:
                break
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            sent.add(asyncio.ensure_future(self.send(call, figures)))
        await asyncio.gather(*sent)

    async def send(self, call: Call, figures: Figures) -> None:
        """Make one call and measure it to its last byte."""
        started_s = time.monotonic()
        arrivals_s: list[float] = []
        loop = asyncio.get_running_loop()
        try:
            requested = treq.request(
                call.method,
                call.url,
                headers=dict(call.headers),
                data=call.body,
                agent=self._agent,
                unbuffered=True,
            )
            response = await requested.asFuture(loop)
            collected = treq.collect(
                response, lambda _: arrivals_s.append(time.monotonic())
            )
            await collected.asFuture(loop)
        except Exception:
            figures.failed += 1
            return
        if response.code >= 400:
            figures.failed += 1
            return
        ended_s = time.monotonic()
        figures.add(next(iter(arrivals_s), ended_s) - started_s, ended_s - started_s)


def chat(address: str, model: str, team: str, tokens: int) -> Call:
    """Return a streamed chat completion call."""
    headers = {"Content-Type": "application/json", "Fuchsiahatch-Team": team}
    messages = [{"role": "user", "content": f"Where is the front? asks {team}"}]
    body = {
        "model": model,
        "stream": True,
        "max_tokens": tokens,
        "messages": messages,
    }
    url = f"http://{address}/v1/chat/completions"
    return Call("POST", url, headers, json.dumps(body).encode())


def readings(address: str, prefix: str, team: str) -> Call:
    """Return a call to a plain service that answers at once."""
    url = f"http://{address}{prefix}/readings"
    return Call("GET", url, {"Fuchsiahatch-Team": team})


def jittered(period_s: float, rng: t.Any) -> t.Iterator[float]:
    """Yield pauses around a period, without end."""
    return (period_s * rng.uniform(0.5, 1.5) for _ in itertools.count())


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    return round(histogram.get_value_at_percentile(percentile) / _US_PER_MS, 2)
