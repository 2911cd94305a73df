"""Stand-in of a model engine, over the published OpenAI chat interface."""

import asyncio
import itertools
import json
import typing as t

import xxhash
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from fuchsiahatch_standins.runs import RunCounter, add_routes

if t.TYPE_CHECKING:
    from twisted.web.server import Request

_WORDS = (
    "front", "shelf", "dawn", "coach", "slot", "warm", "north", "calm", "hold",
    "reef", "gym", "early", "mild", "bay", "class", "swell",
)  # fmt: skip


def make_app(host: str, zone: str, tokens: int = 16, token_ms: int = 5) -> Klein:
    """Make the engine's HTTP application.

    Parameters
    ----------
    host, zone : str
        Told in each answer, so that a caller can see the place.
    tokens : int
        Tokens an answer, where the request doesn't say ``max_tokens``.
    token_ms : int
        Time between tokens. A request may ask for several tokens a write by
        ``tokens_per_write``; each write then waits for all of them.
    """
    app = Klein()
    counter = RunCounter()
    add_routes(app, counter)

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(request: "Request") -> Deferred[bytes]:
        counter.note(request)
        body = json.loads(request.content.read())
        request.setHeader("Fuchsiahatch-Place", f"{zone}/{host}")
        words = _answer_words(body, body.get("max_tokens", tokens))
        request.notifyFinish().addErrback(lambda _: counter.note_cancelled())
        batches = _batch(words, body.get("tokens_per_write", 1))
        write = _stream if body.get("stream") else _whole
        work = write(request, batches, token_ms, body["model"])
        return Deferred.fromFuture(asyncio.ensure_future(work))

    return app


async def _stream(
    request: "Request", batches: list[list[str]], token_ms: int, model: str
) -> bytes:
    gone = asyncio.Event()
    request.notifyFinish().addBoth(lambda _: gone.set())
    request.setHeader("Content-Type", "text/event-stream")
    for batch in batches:
        await _pause(token_ms * len(batch))
        if gone.is_set():
            return b""
        request.write(b"".join(_token_event(word, model) for word in batch))
    return _event("[DONE]")


async def _whole(
    request: "Request", batches: list[list[str]], token_ms: int, model: str
) -> bytes:
    words = list(itertools.chain.from_iterable(batches))
    await _pause(token_ms * len(words))
    request.setHeader("Content-Type", "application/json")
    message = {"role": "assistant", "content": " ".join(words)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return json.dumps({"model": model, "choices": [choice]}).encode()


async def _pause(pause_ms: int) -> None:
    if pause_ms:
        waiting = deferLater(reactor, pause_ms / 1000)
        await waiting.asFuture(asyncio.get_running_loop())


def _answer_words(body: dict[str, t.Any], tokens: int) -> list[str]:
    prompt = json.dumps(body.get("messages", [])).encode()
    seeds = (xxhash.xxh3_64_intdigest(prompt, seed) for seed in range(tokens))
    return [_WORDS[seed % len(_WORDS)] for seed in seeds]


def _batch(words: list[str], size: int) -> list[list[str]]:
    return [words[start : start + size] for start in range(0, len(words), size)]


def _token_event(word: str, model: str) -> bytes:
    choice = {"index": 0, "delta": {"content": word + " "}}
    return _event(json.dumps({"model": model, "choices": [choice]}))


def _event(data: str) -> bytes:
    return f"data: {data}\n\n".encode()
