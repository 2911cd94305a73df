"""The demo's caller: both deployments' kinds of request, a line each."""

import asyncio
import collections
import dataclasses
import itertools
import json
import typing as t

import fire
from twisted.internet import asyncioreactor


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of the demo."""

    label: str
    team: str
    method: str
    path: str
    body: t.Any = None
    key: str = ""


def demo_calls(round_number: int) -> list[Call]:
    """Return the requests of one round; keys differ from round to round."""
    gym, skippers = "gym-bangsar", "skippers-geraldton"
    chat = _chat("booking-assistant", "A trainer at seven, please")
    brief = _chat("brief-writer", "Where is the front near the shelf?")
    hold = f"hold-{round_number}"
    return [
        Call("chat reply", gym, "POST", "/v1/chat/completions", chat),
        Call(
            "hold",
            gym,
            "POST",
            "/services/hold-and-cancel/holds",
            {"slot": "07:00"},
            hold,
        ),
        Call(
            "cancel",
            gym,
            "DELETE",
            "/services/hold-and-cancel/holds/1",
            None,
            "c" + hold,
        ),
        Call("brief", skippers, "POST", "/v1/chat/completions", brief, "b" + hold),
        Call("readings", skippers, "GET", "/services/map-and-readings/readings"),
    ]


def main(entry: str = "127.0.0.1:18000", rounds: int = 1) -> None:
    """Look up the entries and send rounds of requests through them in turn.

    Parameters
    ----------
    entry : str
        ``ip:port`` of an entry to ask for the lookup.
    rounds : int
        How many times each kind of request is sent.
    """
    asyncioreactor.install(asyncio.new_event_loop())
    from twisted.internet.defer import Deferred
    from twisted.internet.task import react

    react(lambda _: Deferred.fromCoroutine(_run(entry, rounds)))


async def _run(entry: str, rounds: int) -> None:
    import treq

    lookup = json.loads(await treq.content(await treq.get(f"http://{entry}/lookup")))
    addresses = collections.deque(lookup["addresses"])
    calls = itertools.chain.from_iterable(map(demo_calls, range(rounds)))
    faults = 0
    for call in calls:
        addresses.rotate(-1)
        line, good = await _send_to_any(list(addresses), call)
        faults += not good
        print(line, flush=True)
    if faults:
        raise SystemExit(f"{faults} calls failed")


async def _send_to_any(addresses: list[str], call: Call) -> tuple[str, bool]:
    from twisted.internet.error import ConnectionRefusedError

    for address in addresses:
        try:
            return await _send(address, call)
        except ConnectionRefusedError:
            # The entry has left since the lookup; nothing was sent to it.
            continue
    return f"{call.label:<10} no entry took the call", False


async def _send(address: str, call: Call) -> tuple[str, bool]:
    import treq

    headers = {"Fuchsiahatch-Team": call.team, "Content-Type": "application/json"}
    if call.key:
        headers["Idempotency-Key"] = call.key
    data = None if call.body is None else json.dumps(call.body).encode()
    url = f"http://{address}{call.path}"
    response = await treq.request(call.method, url, headers=headers, data=data)
    content = await treq.content(response)
    place = response.headers.getRawHeaders("Fuchsiahatch-Place", ["-"])[0]
    line = (
        f"{call.label:<10} team={call.team:<18} entry={address} status={response.code}"
        f" place={place} bytes={len(content)}"
    )
    return line, response.code == 200


def _chat(model: str, question: str) -> dict[str, t.Any]:
    messages = [{"role": "user", "content": question}]
    return {"model": model, "stream": True, "messages": messages}


if __name__ == "__main__":
    fire.Fire(main, name="demo_calls")
