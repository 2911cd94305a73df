"""Stand-in of a caller: looks up entries, keeps tickets with keys, and retries."""

import collections
import dataclasses
import json
import typing as t

_TICKET_HEADER = "Fuchsiahatch-Ticket"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request.

    Attributes
    ----------
    label : str
    team : str
    target : str
        ``model=NAME`` or ``service=NAME``, as the lookup takes it.
    method, path : str
    body : object
        Sent as JSON; None for no body.
    key : str
        The idempotency key, empty without one.
    """

    label: str
    team: str
    target: str
    method: str
    path: str
    body: t.Any = None
    key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a call came to.

    Attributes
    ----------
    status : int
        0 when no entry answered whole.
    address : str
        The entry that answered.
    place : str
    content : bytes
    tries : int
    unsent : bool
        Whether no connection came about, so that nothing can have run.
    """

    status: int
    address: str = "-"
    place: str = "-"
    content: bytes = b""
    tries: int = 0
    unsent: bool = False

    @property
    def error(self) -> dict[str, t.Any]:
        """The coded error, empty where there is none."""
        if self.status in (0, 200):
            return {}
        return json.loads(self.content)["error"]


class Caller:
    """Sends calls by way of the entries.

    Parameters
    ----------
    entry : str
        ``ip:port`` of an entry to ask for the lookup.

    Notes
    -----
    .. versionadded:: 0.1
    """

    __slots__ = ("_addresses", "_entry", "_tickets")

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._addresses: collections.deque[str] = collections.deque()
        self._tickets: dict[str, str] = {}

    async def look_up(self, team: str = "", target: str = "") -> dict[str, t.Any]:
        """Ask the entries, until one answers, which to use, and for a ticket."""
        import treq
        from twisted.internet.error import ConnectError

        query = f"?team={team}&{target}" if team else ""
        for address in (*self._addresses, self._entry):
            try:
                response = await treq.get(f"http://{address}/lookup{query}")
            except ConnectError:
                continue
            answer = await treq.json_content(response)
            if "addresses" in answer:
                self._addresses = collections.deque(answer["addresses"])
            return answer
        return {}

    async def send(self, call: Call, max_tries: int = 4) -> Outcome:
        """Send a call, at another entry each time until one answers."""
        outcome = Outcome(0)
        sent = False
        for tries in range(1, max_tries + 1):
            ticket = await self._ticket(call)
            self._addresses.rotate(-1)
            outcome = await self.send_to(self._addresses[0], call, ticket, tries)
            if not sent and outcome.error.get("name") == "HOME_GONE":
                # No earlier try can have run, so the key may begin anew.
                del self._tickets[f"{call.team} {call.key}"]
                continue
            sent = sent or not outcome.unsent
            if not _may_try_again(outcome, call):
                break
        return outcome

    async def send_to(
        self, address: str, call: Call, ticket: str = "", tries: int = 1
    ) -> Outcome:
        """Send a call to one entry, once."""
        import treq
        from twisted.internet.error import ConnectError, ConnectionClosed
        from twisted.web.client import RequestTransmissionFailed, ResponseFailed

        headers = {"Fuchsiahatch-Team": call.team, "Content-Type": "application/json"}
        if call.key:
            headers["Idempotency-Key"] = call.key
        if ticket:
            headers[_TICKET_HEADER] = ticket
        data = None if call.body is None else json.dumps(call.body).encode()
        url = f"http://{address}{call.path}"
        try:
            response = await treq.request(
                call.method, url, headers=headers, data=data, persistent=False
            )
            content = await treq.content(response)
        except ConnectError:
            return Outcome(0, address, tries=tries, unsent=True)
        except (ConnectionClosed, RequestTransmissionFailed, ResponseFailed):
            return Outcome(0, address, tries=tries)
        place = response.headers.getRawHeaders("Fuchsiahatch-Place", ["-"])[0]
        return Outcome(response.code, address, place, content, tries)

    async def _ticket(self, call: Call) -> str:
        if not call.key:
            return ""
        # A key's tries go with the ticket that its first one had.
        name = f"{call.team} {call.key}"
        if name not in self._tickets:
            answer = await self.look_up(call.team, call.target)
            self._tickets[name] = answer.get("ticket", "")
        return self._tickets[name]


def _may_try_again(outcome: Outcome, call: Call) -> bool:
    if outcome.status == 0:
        return outcome.unsent or bool(call.key) or call.method == "GET"
    return outcome.status != 200 and outcome.error.get("verdict") == "NOT_RUN"
