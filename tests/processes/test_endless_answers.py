import asyncio
import collections
import contextlib
import pathlib
import unittest

from fuchsiahatch_standins.scripted_upstream import ScriptedUpstream, encode_head
from tests.gateway.sites import encode_request
from tests.loopback import run
from tests.processes.entries import PORTS, EntryProcesses

IP = "127.0.7.91"
UPSTREAMS = 3
#: Requests at once of each kind, of callers that read all and that read nothing.
READERS, IDLERS = 4, 4
#: Longer than a request may take.
LIMIT_S = 2.5
#: Time for which callers stay that read nothing; as long as a request may take.
IDLE_S = 1.6
#: Pause between two requests to a sound path beside them.
BESIDE_S = 0.05
#: Half of the memory that deployments give to an entry.
MAX_MEMORY_KB = 150_000
PIECE = b"x" * 65_536
COMMENTS = b": comment\n\n" * 6_000
NOT_RUN = {"Fuchsiahatch-Not-Executed": "1"}
LENGTH = 99_999_999_999


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def unframed_head(request):
    head = encode_head(request.request_id, 200, None, {})
    return head.replace(b"Transfer-Encoding: chunked\r\n", b"")


#: What upstreams send by the last part of a path: a beginning, and what is repeated.
KINDS = {
    "length": (lambda q: encode_head(q.request_id, 200, LENGTH, {}), PIECE),
    "chunks": (lambda q: encode_head(q.request_id, 200, None, {}), chunk(PIECE)),
    "small-chunks": (
        lambda q: encode_head(q.request_id, 200, None, {}),
        chunk(b"x") * 10_000,
    ),
    "unframed": (unframed_head, PIECE),
    "refusal": (lambda q: encode_head(q.request_id, 503, LENGTH, NOT_RUN), PIECE),
    "failure": (lambda q: encode_head(q.request_id, 500, LENGTH, {}), PIECE),
    "other": (lambda q: encode_head("another", 200, LENGTH, {}), PIECE),
    "heads": (lambda q: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_600),
    "noise": (lambda q: encode_head(q.request_id, 200, None, {}), chunk(PIECE)),
    "comments": (lambda q: encode_head(q.request_id, 200, None, {}), chunk(COMMENTS)),
}
STREAMS = ("noise", "comments")


async def answer(request, wire):
    """Answer a request as its path says; without end for the kinds above."""
    kind = request.target.rpartition("/")[2]
    if kind not in KINDS:
        await wire.answer(request)
        return
    make_beginning, repeated = KINDS[kind]
    with contextlib.suppress(asyncio.CancelledError):
        await wire.raw(make_beginning(request))
        while True:
            await wire.raw(repeated)
            await asyncio.sleep(0)


class Faulty(ScriptedUpstream):
    """An upstream that registers with the store of the entries."""

    def __init__(self, entries, instance):
        super().__init__(answer)
        self._entries, self._instance = entries, instance

    async def start(self):
        self._entries.put_upstream(self._instance, await self.listen())


class Trial:
    """Requests of one kind at one entry, several at once, and sound ones beside them.

    Attributes
    ----------
    ends : collections.Counter
        Status of each, and how its connection ended.
    memory_kb : int
        Most memory of the entry meanwhile.
    beside : list of int
        Status of each sound request.
    """

    def __init__(self, entries, kind):
        self._pid = entries.processes[IP].pid
        self._kind = kind
        self._path = ("/brief/" if kind in STREAMS else "/safe/") + kind
        self.ends = collections.Counter()
        self.memory_kb = 0
        self.beside = []

    async def play(self):
        # Begins the record of the most memory anew.
        pathlib.Path(f"/proc/{self._pid}/clear_refs").write_text("5")
        asking = [self._ask(number) for number in range(READERS)]
        asking += [self._idle(READERS + number) for number in range(IDLERS)]
        beside = asyncio.ensure_future(self._ask_beside())
        await asyncio.gather(*asking)
        beside.cancel()
        self.memory_kb = read_most_memory_kb(self._pid)

    async def _send(self, number):
        reader, writer = await asyncio.open_connection(IP, PORTS["front"], limit=4_096)
        request_id = f"{self._kind}-{number}"
        writer.write(encode_request(self._path, request_id, body=request_id.encode()))
        return reader, writer

    async def _idle(self, number):
        _, writer = await self._send(number)
        await asyncio.sleep(IDLE_S)
        writer.transport.abort()

    async def _ask(self, number):
        reader, writer = await self._send(number)
        first, end = b"", "closed"
        try:
            async with asyncio.timeout(LIMIT_S):
                first = await reader.read(64)
                while await reader.read(65_536):
                    pass
        except TimeoutError:
            end = "left"
        except ConnectionResetError:
            end = "reset"
        finally:
            writer.transport.abort()
        self.ends[first[9:12].decode(), end] += 1

    async def _ask_beside(self):
        while True:
            reader, writer = await asyncio.open_connection(IP, PORTS["front"])
            request_id = f"beside-{self._kind}-{len(self.beside)}"
            writer.write(encode_request("/safe/sound", request_id))
            first = await reader.read(-1)
            self.beside.append(int(first[9:12] or 0))
            writer.close()
            await asyncio.sleep(BESIDE_S)


def read_most_memory_kb(pid):
    """Return the most resident memory of a process since its record began."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise AssertionError("no record of the memory")


async def play(kinds, together=()):
    """Play kinds in turn and then some at once; return the trials by name."""
    trials = {}

    def make_upstreams(entries):
        return [Faulty(entries, f"i-{number}") for number in range(UPSTREAMS)]

    async with EntryProcesses(make_upstreams, (IP,)) as entries:
        for kind in kinds:
            trials[kind] = Trial(entries, kind)
            await trials[kind].play()
        at_once = {f"{kind} among all": Trial(entries, kind) for kind in together}
        await asyncio.gather(*(trial.play() for trial in at_once.values()))
        assert entries.processes[IP].poll() is None, "the entry has ended"
    return trials | at_once


class TestMemory(unittest.TestCase):
    def test_answers_without_end_do_not_fill_the_memory_of_an_entry(self):
        trials = run(play(("length", "unframed", "refusal", "other"), KINDS))
        for name, trial in trials.items():
            with self.subTest(name):
                self.assertLess(trial.memory_kb, MAX_MEMORY_KB)
                self.assertFalse({("200", "closed"), ("200", "left")} & set(trial.ends))
                self.assertIn(200, trial.beside)


if __name__ == "__main__":
    unittest.main()
