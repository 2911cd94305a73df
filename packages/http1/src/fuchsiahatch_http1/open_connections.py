"""The open connections of a server, and which of them gives way to a new one."""

import collections.abc
import typing as t

from fuchsiahatch_http1.connection_states import ConnectionState

if t.TYPE_CHECKING:
    from fuchsiahatch_http1.server_connection import ServerConnection

#: States in which a connection may be closed for a new one, the first ones first. A
#: request that is being answered keeps its connection.
_GIVING_WAY = (
    ConnectionState.IDLE,
    ConnectionState.CLOSING,
    ConnectionState.READING,
)


class OpenConnections(collections.abc.Collection["ServerConnection"]):
    """The open connections, in the order in which they came into their states."""

    __slots__ = ("_by_state", "_states")

    def __init__(self) -> None:
        self._states: dict[ServerConnection, ConnectionState] = {}
        self._by_state: dict[ConnectionState, dict[ServerConnection, None]] = {
            state: {} for state in ConnectionState
        }

    def __contains__(self, connection: object) -> bool:
        return connection in self._states

    def __iter__(self) -> "collections.abc.Iterator[ServerConnection]":
        return iter(self._states)

    def __len__(self) -> int:
        return len(self._states)

    def note(self, connection: "ServerConnection", state: ConnectionState) -> None:
        """Note that a connection, which may be a new one, has come into a state."""
        self._leave_state(connection)
        self._states[connection] = state
        self._by_state[state][connection] = None

    def note_reset(self, connection: "ServerConnection") -> None:
        """Note that a connection has been reset; it counts until its socket is gone."""
        self._leave_state(connection)

    def discard(self, connection: "ServerConnection") -> None:
        """Count a connection out."""
        self._leave_state(connection)
        self._states.pop(connection, None)

    def choose_to_close(self) -> "ServerConnection | None":
        """Return the connection that may be closed for a new one; None without one.

        Of those in a state it is the one that has been in it for the longest time.
        """
        return next(
            (
                connection
                for state in _GIVING_WAY
                for connection in self._by_state[state]
            ),
            None,
        )

    def _leave_state(self, connection: "ServerConnection") -> None:
        if connection in self._states:
            self._by_state[self._states[connection]].pop(connection, None)
