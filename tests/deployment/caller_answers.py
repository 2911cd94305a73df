"""Reads the answer to one request, and counts its whole events."""

import h11


class AnswerReader:
    """Parses an answer as its bytes come.

    Parameters
    ----------
    method : str
        The request's.

    Attributes
    ----------
    status : int
        0 before the head.
    headers : dict of str to str
    bytes : int
        Bytes of the body.
    pieces : list of int
        Numbers of the whole events, in order.
    continues : bool
        Whether the entry has asked for the body.
    whole : bool
    fault : str
        What isn't an answer in the protocol; empty without a fault.
    """

    def __init__(self, method):
        self._method = method
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(
            h11.Request(method=method, target="/", headers=[("Host", "x")])
        )
        self._parser.send(h11.EndOfMessage())
        self._raw = b""
        self._partial = b""
        self.status, self.headers = 0, {}
        self.bytes, self.pieces = 0, []
        self.continues = self.whole = False
        self.fault = ""

    @property
    def rest(self):
        """Bytes behind the whole answer."""
        return self._parser.trailing_data[0] if self.whole else b""

    @property
    def may_keep(self):
        """Whether the entry has left the connection open for a further request."""
        return self.whole and self._parser.their_state is h11.DONE

    def receive(self, data):
        """Take bytes; none say that the connection has ended."""
        self._raw += data
        try:
            self._parser.receive_data(data)
            while not self.whole:
                event = self._parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._take(event)
        except h11.RemoteProtocolError as fault:
            self.fault = self.fault or str(fault)

    def would_be_whole(self, unread):
        """Return whether the answer is whole with bytes that were never read."""
        reader = AnswerReader(self._method)
        reader.receive(self._raw + unread)
        return reader.whole

    def _take(self, event):
        if isinstance(event, h11.InformationalResponse):
            self.continues = True
        elif isinstance(event, h11.Response):
            self.status = event.status_code
            self.headers = {
                name.decode(): value.decode("latin-1") for name, value in event.headers
            }
        elif isinstance(event, h11.Data):
            self.bytes += len(event.data)
            if self._is_stream:
                self._take_events(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.whole = True
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection ended before an answer")

    @property
    def _is_stream(self):
        return "content-length" not in self.headers and self.status == 200

    def _take_events(self, data):
        *whole, self._partial = (self._partial + data).split(b"\n\n")
        for event in whole:
            for line in event.split(b"\n"):
                name, _, value = line.partition(b":")
                if name == b"id":
                    self.pieces.append(int(value))
