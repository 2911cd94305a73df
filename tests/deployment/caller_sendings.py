"""One sending of a request on a connection, until its answer has ended."""

import time

from tests.deployment.caller_answers import AnswerReader
from tests.deployment.caller_channels import READ_BYTES
from tests.deployment.caller_loop import pause_until
from tests.deployment.caller_manners import BodyForm
from tests.deployment.caller_records import EndedBy, Ending, Record
from tests.deployment.caller_requests import encode_body, encode_head

#: Time for which an idempotent request may stay unread at its entry.
MAX_UNREAD_S = 1.0
#: Shortest gap after which a caller leaves a stream, and the gap in objectives.
MIN_GAP_S, GAP_OBJECTIVES = 2.0, 4
#: Time for which a caller waits to be asked for a body.
CONTINUE_TIMEOUT_S = 1.0
#: Bytes and pause of a caller that reads slowly; all of an answer's small pieces.
SLOW_BYTES, SLOW_PAUSE_S = 256, 0.1
#: What is noted of a body that wasn't asked for in time.
NOT_ASKED = "not asked for the body"
#: When a caller gives up, as a share of the time that its answer takes.
GIVES_UP_SHARE = (0.1, 0.9)


class Sending:
    """Sends a request on a connection and reads its answer.

    Parameters
    ----------
    request : Request
    request_id, caller : str
    channel : Channel
    manners : Manners
    rng : random.Random

    Attributes
    ----------
    record : Record
    may_keep : bool
        Whether the entry has left the connection open for a further request.
    retry_after_s : float
        Time that the entry asks to wait.
    """

    def __init__(self, request, request_id, caller, channel, manners, rng):
        self._request, self._channel = request, channel
        self._manners = manners
        self._reader = AnswerReader(request.kind.method)
        self._body = []
        self._gives_up_s = rng.uniform(*GIVES_UP_SHARE) * request.lasts_s
        request.tries += 1
        self.record = Record(
            request=request_id,
            kind=request.kind.name,
            target=request.target,
            caller=caller,
            entry=channel.ip,
            local_port=channel.local_port,
            number=request.tries,
            on_kept=channel.answers > 0,
            last_event=request.last_event,
            until_s=request.until_s,
            manner=str(manners),
        )
        self.may_keep = False
        self.retry_after_s = 0.0

    def send(self, host, key, at_s=0.0):
        """Queue the request, to be sent not before a time."""
        form = self._manners.body_form
        head = encode_head(self._request, self.record.request, host, key, form)
        self._body = encode_body(self._request, form)
        self.record.sent_s = max(time.monotonic(), at_s)
        self._channel.queue(head, at_s)
        if form is not BodyForm.EXPECT or not self._body:
            self._send_body(self.record.sent_s)
        if "half-closes-behind-request" in self._manners:
            self._channel.queue_end(at_s)

    def _send_body(self, at_s):
        body, self._body = self._body, []
        for pause_s, data in body:
            at_s += pause_s
            self._channel.queue(data, at_s)

    async def receive(self, on_last_event=lambda: None):
        """Read the answer to its end, and fill in the record.

        Parameters
        ----------
        on_last_event : callable, optional
            Called as the last event of a stream has been read, before its end.
        """
        while not self._reader.whole and not self._reader.fault:
            until_s, ending, why = min(self._limits())
            data = await self._channel.receive(until_s, self._read_bytes)
            self._note_acknowledged()
            if data:
                self._take(data, on_last_event)
                await self._slow_down()
            elif self._channel.end is not None:
                self._note_end(self._channel.end)
                break
            elif time.monotonic() >= min(self._limits())[0] and not self._goes_on(why):
                self.record.ending, self.record.detail = ending, why
                break
        self._finish()

    def end_with(self, before):
        """Fill in the record of a request whose answer before it wasn't whole."""
        record = self.record
        record.ended_s = time.monotonic()
        record.ending, record.ended_by = before.ending, before.ended_by
        record.detail = "ended with the answer before"
        if record.sent_s > record.ended_s:
            # It was still to be sent.
            record.sent_s = 0.0

    def _limits(self):
        """Return times at which the caller stops waiting, each with what it means."""
        record, kind = self.record, self._request.kind
        limits = [(self._request.until_s, Ending.TIMEOUT, "time limit")]
        if "gives-up" in self._manners:
            limits.append((record.sent_s + self._gives_up_s, Ending.LEFT, "gave up"))
        if self._body:
            until_s = record.sent_s + CONTINUE_TIMEOUT_S
            limits.append((until_s, Ending.LEFT, NOT_ASKED))
        elif kind.may_repeat and not record.read_s:
            left_s = self._request.until_s - record.sent_s
            until_s = record.sent_s + min(MAX_UNREAD_S, left_s / 3)
            limits.append((until_s, Ending.LEFT, "not acknowledged"))
        if kind.streams:
            gap_s = max(MIN_GAP_S, GAP_OBJECTIVES * kind.objective_ms / 1000)
            since_s = record.last_byte_s or record.sent_s
            limits.append((since_s + gap_s, Ending.LEFT, "gap"))
        return limits

    def _goes_on(self, why):
        """Send a body that wasn't asked for, and return whether that was it."""
        if why == NOT_ASKED:
            self._send_body(time.monotonic())
        return why == NOT_ASKED

    @property
    def _read_bytes(self):
        return SLOW_BYTES if "reads-slowly" in self._manners else READ_BYTES

    async def _slow_down(self):
        if "reads-slowly" in self._manners and not self._reader.whole:
            await pause_until(time.monotonic() + SLOW_PAUSE_S)

    def _note_acknowledged(self):
        # Nothing of the next request is queued yet, or this one was acknowledged.
        if not self._body:
            self.record.read_s = self.record.read_s or self._channel.acknowledged_s

    def _take(self, data, on_last_event):
        record, reader = self.record, self._reader
        record.last_byte_s = time.monotonic()
        record.first_byte_s = record.first_byte_s or record.last_byte_s
        reader.receive(data)
        if reader.continues and self._body:
            self._send_body(record.last_byte_s)
        pieces = reader.pieces
        if pieces and pieces[-1] == self._request.events and not reader.whole:
            on_last_event()
            if "half-closes-behind-answer" in self._manners:
                self._channel.queue_end()

    def _note_end(self, end):
        record = self.record
        self._reader.receive(b"")
        record.ending, record.ended_by = end.ending, EndedBy.ENTRY
        record.seen, record.unread_bytes = end.seen, len(end.unread)
        record.whole_if_read = self._reader.would_be_whole(end.unread)

    def _finish(self):
        record, reader = self.record, self._reader
        record.ended_s = time.monotonic()
        record.status, record.bytes = reader.status, reader.bytes
        record.events, record.whole = len(reader.pieces), reader.whole
        if reader.pieces:
            record.first_piece, record.last_piece = reader.pieces[0], reader.pieces[-1]
            self._request.last_event = reader.pieces[-1]
        if reader.whole:
            record.ending, record.ended_by = Ending.WHOLE, EndedBy.ANSWER
        elif reader.fault and self._channel.end is None:
            record.ended_by, record.detail = EndedBy.ENTRY, reader.fault
        self._channel.early = reader.rest
        self._channel.answers += 1
        self.may_keep = reader.may_keep
        self.retry_after_s = _read_seconds(reader.headers.get("retry-after", ""))


def _read_seconds(text):
    try:
        return float(text)
    except ValueError:
        return 0.0
