"""Bytes and segments that the kernel has counted on a TCP connection."""

import dataclasses
import socket
import struct

# linux/tcp.h, struct tcp_info: tcpi_bytes_acked, tcpi_bytes_received,
# tcpi_segs_out and tcpi_segs_in stand one after the other.
_TCP_INFO_OFFSET = 120
_TCP_INFO_FORMAT = "=QQII"
#: IPv4 and TCP with the timestamps option, as Linux sends them.
SEGMENT_HEADER_BYTES = 52


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What has passed, both ways together.

    Attributes
    ----------
    payload_bytes : int
        Without segment headers.
    segments : int
        Acknowledgements included.
    """

    payload_bytes: int = 0
    segments: int = 0

    @property
    def wire_bytes(self) -> int:
        """Bytes with segment headers."""
        return self.payload_bytes + SEGMENT_HEADER_BYTES * self.segments

    def __add__(self, other: "Traffic") -> "Traffic":
        return Traffic(
            self.payload_bytes + other.payload_bytes, self.segments + other.segments
        )


def read_traffic(connection: socket.socket) -> Traffic:
    """Read what has passed on a connection so far."""
    size = _TCP_INFO_OFFSET + struct.calcsize(_TCP_INFO_FORMAT)
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    sent, received, segments_out, segments_in = struct.unpack_from(
        _TCP_INFO_FORMAT, info, _TCP_INFO_OFFSET
    )
    return Traffic(sent + received, segments_out + segments_in)
