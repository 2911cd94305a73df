"""Structured log lines on standard output, rate-limited and non-blocking."""

import os
import typing as t

import eliot
import orjson

#: Lines above this rate are dropped and counted.
MAX_LINES_PER_S = 200
#: Longest text of a field; what callers send, as an id, may be in it.
MAX_FIELD_CHARACTERS = 1_024


class LineWriter:
    """Writes one line per message and drops lines that would block.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; made non-blocking. A stalled reader must not stop
        the process: its requests would wait for a log line.
    read_clock_ms : callable

    Attributes
    ----------
    written, dropped : int
    """

    __slots__ = (
        "_descriptor",
        "_lines_in_second",
        "_read_clock_ms",
        "_second",
        "_unwritten",
        "dropped",
        "written",
    )

    def __init__(self, descriptor: int, read_clock_ms: t.Callable[[], int]) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._read_clock_ms = read_clock_ms
        self._second = -1
        self._lines_in_second = 0
        self._unwritten = b""
        self.written = 0
        self.dropped = 0

    def __call__(self, message: dict[str, t.Any]) -> None:
        """Write one message, unless the rate limit is reached."""
        now_ms = self._read_clock_ms()
        if now_ms // 1000 != self._second:
            self._second = now_ms // 1000
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_S:
            self.dropped += 1
            return
        message.pop("task_uuid", None)
        message.pop("task_level", None)
        for name, value in message.items():
            if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
                message[name] = value[:MAX_FIELD_CHARACTERS]
        message["t_ms"] = now_ms
        if self.dropped:
            message["dropped_lines"] = self.dropped
        self._write(orjson.dumps(message, default=str) + b"\n")

    def _write(self, line: bytes) -> None:
        data = self._unwritten + line
        try:
            count = os.write(self._descriptor, data)
        except BlockingIOError:
            self.dropped += 1
            return
        # The rest of a partially written line is written first: lines stay whole.
        self._unwritten = data[count:]
        self.written += 1


def open_log(
    node: str, role: str, read_clock_ms: t.Callable[[], int], descriptor: int = 1
) -> LineWriter:
    """Send all log messages to standard output."""
    writer = LineWriter(descriptor, read_clock_ms)
    eliot.add_destinations(writer)
    eliot.add_global_fields(node=node, role=role)
    return writer
