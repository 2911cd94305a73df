"""The demo's caller: both deployments' kinds of request, a line each."""

import asyncio
import itertools
import typing as t

import fire
from twisted.internet import asyncioreactor

from fuchsiahatch_standins.caller import Call, Caller, Outcome

_HOLDS = "/services/hold-and-cancel/holds"
_READINGS = "/services/map-and-readings/readings"
_CHAT = "/v1/chat/completions"


def demo_calls(round_number: int) -> list[Call]:
    """Return the requests of one round; keys differ from round to round."""
    gym, skippers = "gym-bangsar", "skippers-geraldton"
    service = "service=hold-and-cancel"
    chat = make_chat("booking-assistant", "A trainer at seven, please")
    brief = make_chat("brief-writer", "Where is the front near the shelf?")
    slot = {"slot": "07:00"}
    key = f"hold-{round_number}"
    return [
        Call("chat reply", gym, "model=booking-assistant", "POST", _CHAT, chat),
        Call("hold", gym, service, "POST", _HOLDS, slot, key),
        Call("cancel", gym, service, "DELETE", f"{_HOLDS}/1", None, f"c{key}"),
        Call("brief", skippers, "model=brief-writer", "POST", _CHAT, brief, f"b{key}"),
        Call("readings", skippers, "service=map-and-readings", "GET", _READINGS),
    ]


def make_chat(model: str, question: str) -> dict[str, t.Any]:
    """Return the body of a streamed chat completion."""
    messages = [{"role": "user", "content": question}]
    return {"model": model, "stream": True, "messages": messages}


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
    caller = Caller(entry)
    await caller.look_up()
    calls = itertools.chain.from_iterable(map(demo_calls, range(rounds)))
    faults = 0
    for call in calls:
        outcome = await caller.send(call)
        faults += outcome.status != 200
        print(_line(call, outcome), flush=True)
    if faults:
        raise SystemExit(f"{faults} calls failed")


def _line(call: Call, outcome: Outcome) -> str:
    return (
        f"{call.label:<10} team={call.team:<18} entry={outcome.address}"
        f" status={outcome.status} place={outcome.place}"
        f" bytes={len(outcome.content)}"
    )


if __name__ == "__main__":
    fire.Fire(main, name="demo_calls")
