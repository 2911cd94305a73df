"""Starts one stand-in, or writes the demo's layout."""

import json
import pathlib

import fire

from fuchsiahatch_standins import layout
from fuchsiahatch_standins.serving import serve

_PLACEMENT_KEY = "fuchsiahatch/placement/main"
_ROSTER_KEY = "fuchsiahatch/roster"


def key_value(
    address: str, placement: str | None = None, roster: str | None = None
) -> None:
    """Run the key-value service, with first documents where given."""

    def make_app():
        from fuchsiahatch_standins import keyvalue

        store = keyvalue.Store()
        for key, path in ((_PLACEMENT_KEY, placement), (_ROSTER_KEY, roster)):
            if path is not None:
                value = keyvalue.encode_key(pathlib.Path(path).read_text("utf-8"))
                store.restore(keyvalue.encode_key(key), value)
        return keyvalue.make_app(store)

    serve(make_app, address)


def host_list(address: str, hosts: str) -> None:
    """Run the host list over the rows of a file."""

    def make_app():
        from fuchsiahatch_standins import host_list

        return host_list.make_app(json.loads(pathlib.Path(hosts).read_text("utf-8")))

    serve(make_app, address)


def upstream(settings: str, tokens: int = 16, token_ms: int = 5) -> None:
    """Run the upstream that an agent's settings file names."""
    document = json.loads(pathlib.Path(settings).read_text("utf-8"))
    host, zone = document["host"], document["zone"]
    address = document["upstream"]["url"].removeprefix("http://")

    def make_app():
        if host.startswith("engine-"):
            from fuchsiahatch_standins import engine

            return engine.make_app(host, zone, tokens, token_ms)
        from fuchsiahatch_standins import service

        return service.make_app(host, zone)

    serve(make_app, address)


def rank_group(addresses: str, fences: bool = True, compute_ms: float = 5.0) -> None:
    """Run the engines of a rank group, at one of the addresses each."""
    first, *others = addresses.split(" ")

    def make_app():
        import asyncio

        from twisted.internet import endpoints, reactor
        from twisted.web.server import Site

        from fuchsiahatch_standins import lockstep, rank_engine

        ranks = 1 + len(others)
        group = lockstep.LockStepGroup(ranks, fences, [compute_ms] * ranks)
        for rank, address in enumerate(others, 1):
            ip, _, port = address.rpartition(":")
            endpoint = endpoints.TCP4ServerEndpoint(reactor, int(port), interface=ip)
            endpoint.listen(Site(rank_engine.make_app(group, rank).resource()))
        reactor.callWhenRunning(asyncio.ensure_future, rank_engine.run_steps(group))
        return rank_engine.make_app(group, 0)

    serve(make_app, first)


if __name__ == "__main__":
    fire.Fire(
        {
            "key-value": key_value,
            "host-list": host_list,
            "upstream": upstream,
            "rank-group": rank_group,
            "layout": layout.write_layout,
        },
        name="fuchsiahatch_standins",
    )
