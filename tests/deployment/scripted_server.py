"""A server on a real socket that plays a script on its one connection."""

import socket
import struct
import threading

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class ScriptedServer:
    """Accepts one connection in a thread, for the time of a context.

    Parameters
    ----------
    play : callable
        Given the connection; it is closed behind it.
    """

    def __init__(self, play):
        self._play = play
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve)
        self.address = self._listening.getsockname()

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._thread.join()
        self._listening.close()

    def _serve(self):
        connection, _ = self._listening.accept()
        with connection:
            self._play(connection)


def make_chunk(number):
    """Return the chunk of one event."""
    event = b"id: %d\ndata: piece %d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(event), event)


def read_request(connection):
    """Return a request with its body, unless that waits to be asked for.

    A server that closes with unread bytes would reset the connection.
    """
    data = _read_until(connection, lambda data: b"\r\n\r\n" in data)
    if b"Expect:" in data:
        return data
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    missing = length - len(body)
    return data + _read_until(connection, lambda data: len(data) >= missing)


def _read_until(connection, is_enough):
    data = b""
    while not is_enough(data) and (piece := connection.recv(65_536)):
        data += piece
    return data


def reset(connection):
    """Reset a connection, behind the bytes that its peer hasn't read yet."""
    no_time = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_time)
    connection.close()
