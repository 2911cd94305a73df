"""A bounded load on one entry: so many calls at once, each read to its end."""

import asyncio
import dataclasses
import itertools
import json
import typing as t

import treq

TEAM = "gym-bangsar"
MODEL = "booking-assistant"
SERVICE = "hold-and-cancel"
_STATUS_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a load."""

    method: str
    path: str
    body: bytes | None = None
    key: str = ""
    ticket: str = ""
    team: str = TEAM


def chat_call(tokens: int, tokens_per_write: int = 1) -> Call:
    """Return a streamed chat completion of so many tokens."""
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": tokens,
        "tokens_per_write": tokens_per_write,
        "messages": [{"role": "user", "content": "A trainer at seven, please"}],
    }
    return Call("POST", "/v1/chat/completions", json.dumps(body).encode())


def reading_call() -> Call:
    """Return a short call to a plain service that may be repeated."""
    path = "/services/map-and-readings/readings"
    return Call("GET", path, team="skippers-geraldton")


def hold_call(number: int, ticket: str) -> Call:
    """Return a call to a plain service with an idempotency key of its own."""
    body = json.dumps({"slot": "07:00"}).encode()
    path = f"/services/{SERVICE}/holds"
    return Call("POST", path, body, f"slope-{number}", ticket)


async def take_ticket(entry: str) -> str:
    """Return a ticket for holds from an entry's lookup."""
    loop = asyncio.get_running_loop()
    url = f"http://{entry}/lookup?team={TEAM}&service={SERVICE}"
    response = await treq.get(url).asFuture(loop)
    answer = await treq.json_content(response).asFuture(loop)
    return answer["ticket"]


async def send_all(entry: str, calls: t.Iterable[Call], at_once: int) -> int:
    """Send calls through one entry and return how many were answered with 200.

    Parameters
    ----------
    entry : str
        ``ip:port``.
    calls : iterable of Call
    at_once : int
        How many may be open together.
    """
    waiting = iter(calls)
    workers = [asyncio.ensure_future(_work(entry, waiting)) for _ in range(at_once)]
    return sum(await asyncio.gather(*workers))


async def _work(entry: str, waiting: t.Iterator[Call]) -> int:
    answered = 0
    for call in waiting:
        answered += await _send(entry, call)
    return answered


async def _send(entry: str, call: Call) -> bool:
    loop = asyncio.get_running_loop()
    keyed = {"Idempotency-Key": call.key, "Fuchsiahatch-Ticket": call.ticket}
    headers = {
        "Fuchsiahatch-Team": call.team,
        "Content-Type": "application/json",
        **{name: value for name, value in keyed.items() if value},
    }
    asked = treq.request(
        call.method, f"http://{entry}{call.path}", headers=headers, data=call.body
    )
    response = await asked.asFuture(loop)
    await treq.content(response).asFuture(loop)
    return response.code == _STATUS_OK


def repeated(call: Call, count: int) -> t.Iterator[Call]:
    """Return the same call so many times."""
    return itertools.repeat(call, count)
