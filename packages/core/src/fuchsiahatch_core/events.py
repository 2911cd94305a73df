"""Numbered log events, written through eliot; docs/EVENTS.md is the catalogue."""

import enum
import typing as t

import eliot


class Event(enum.IntEnum):
    """Log events, grouped by hundreds as the packages are.

    Notes
    -----
    .. versionadded:: 0.1
    """

    STARTED = 1000
    STOPPING = 1001
    STOPPED = 1002
    SETTINGS_REFUSED = 1003
    INTERNAL_ERROR = 1004
    SETTINGS_APPLIED = 1005
    SOCKET_CLOSED_EARLY = 1006
    LOOP_LATE = 1007
    CONNECTION_CLOSED = 1008

    CONFIGURATION_APPLIED = 1100
    CONFIGURATION_UNREADABLE = 1101
    SERVICE_CALL_FAILED = 1102
    REVERT_SEEN = 1103
    FRESHNESS_LOST = 1104
    FRESHNESS_GAINED = 1105
    HOST_LIST_FAILED = 1106
    ROSTER_APPLIED = 1107
    STORE_LOST = 1108
    STORE_REGAINED = 1109
    HISTORY_LOST = 1110
    LEASE_LOST = 1111
    LEASES_LAPSED = 1112
    STORE_CALLS = 1113
    FIGURES_WRITTEN = 1114
    STORE_RESTORED = 1115
    ERA_UNREADABLE = 1116
    HOLD_WRITTEN = 1117
    ERA_SETTLED = 1118
    ZONE_DRAIN_BEGUN = 1119
    ZONE_DRAIN_ENDED = 1120
    DRAINED_ZONE_UNKNOWN = 1121
    WATCH_REPEATED = 1122

    AGENT_SEEN = 1200
    AGENT_LOST = 1201
    AGENT_LEAVING = 1202
    UPSTREAM_SEEN = 1203
    UPSTREAM_LEAVING = 1204
    UPSTREAM_GONE = 1205
    UPSTREAM_MISPLACED = 1206
    ITEM_UNREADABLE = 1207
    UPSTREAM_SILENT = 1208
    UPSTREAM_ANSWERS = 1209
    ENTRIES_CHANGED = 1210
    DATAGRAM_DROPPED = 1211
    UPSTREAM_RESTARTED = 1212
    RATE_STATED = 1213
    RATE_ENDED = 1214
    RATE_UNREADABLE = 1215
    UPSTREAM_CRASHED = 1216
    UPSTREAM_LATE = 1217
    UPSTREAM_BACKOFF = 1218
    UPSTREAM_BACKOFF_ENDED = 1219
    STATEMENT_UNREADABLE = 1220
    UPSTREAM_COLD = 1225

    REQUEST_REFUSED = 1301
    ATTEMPT_RETRIED = 1302
    ATTEMPT_UNKNOWN = 1303
    STRANGER_DROPPED = 1304
    REQUEST_ENDED = 1305
    CRASH_COUNTED = 1306
    REQUEST_HELD = 1307
    SUSPECT_CLEARED = 1308

    TERM_WON = 1500
    TERM_LOST = 1501
    STEPS_STARVED = 1502
    ORDER_LOST = 1503
    ORDER_REFUSED = 1504
    STRAGGLERS_CHANGED = 1505
    TERM_SEEN = 1506
    MAP_PLANNED = 1507
    SWITCH_MOVED = 1508
    TAKEOVER_BEGUN = 1509
    TAKEOVER_ENDED = 1510
    PLANS_LACK = 1511
    FIGURES_LEARNT = 1512


def log_event(event: Event, **fields: t.Any) -> None:
    """Write one numbered event.

    Parameters
    ----------
    event : Event
        Which event; its number and name go into the line.
    **fields
        Typed fields, each with its unit as a suffix.
    """
    eliot.log_message(message_type=event.name.lower(), event=int(event), **fields)
