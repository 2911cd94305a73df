"""Gauges of an entry on the metrics address."""

import typing as t

if t.TYPE_CHECKING:
    from fuchsiahatch_gateway.entry import Entry
    from fuchsiahatch_gateway.process import Process


def add_gauges(entry: "Entry", process: "Process") -> None:
    """Add an entry's gauges, which are read at each scrape."""
    add = process.add_gauge
    add("fuchsiahatch_waiting", "Requests that wait.", lambda: entry.placer.waiting)
    add("fuchsiahatch_opened", "Connections opened.", lambda: entry.pool.opened)
    add("fuchsiahatch_retries", "Second sends.", lambda: entry.budget.spent)
    add(
        "fuchsiahatch_retries_refused",
        "Second sends over budget.",
        lambda: entry.budget.refused,
    )
    add(
        "fuchsiahatch_store_calls",
        "Calls to the store.",
        lambda: entry.store.calls.total(),
    )
    add(
        "fuchsiahatch_unreadable_items",
        "Items of the store that were passed over.",
        lambda: entry.fleet.unreadable + entry.entries.decoder.unreadable,
    )
    issuer = entry.permits.issuer
    add("fuchsiahatch_permits_issued", "Permits.", lambda: issuer.issued)
    add("fuchsiahatch_permits_refused", "Permits.", lambda: issuer.refused)
    add(
        "fuchsiahatch_permits_unanswered",
        "Questions for permits without an answer.",
        lambda: entry.permits.unanswered,
    )
    cold_issuer = entry.permits.cold_issuer
    add(
        "fuchsiahatch_cold_permits_issued",
        "Permits of cold upstreams.",
        lambda: cold_issuer.issued,
    )
    add(
        "fuchsiahatch_upstreams_cold",
        "Upstreams that are known to be cold.",
        lambda: entry.fleet.cold_count,
    )
    add(
        "fuchsiahatch_suspects",
        "Requests and prompt parts under which an upstream has crashed.",
        lambda: entry.crashing.suspects,
    )
    add(
        "fuchsiahatch_held_requests",
        "Kinds of requests that are held back for it.",
        lambda: len(entry.crashing.holds.names()),
    )
    add(
        "fuchsiahatch_backoffs",
        "Backoff periods that upstreams asked for.",
        lambda: entry.backoffs.begun,
    )
    add(
        "fuchsiahatch_upstreams_backing_off",
        "Upstreams in a backoff period.",
        lambda: entry.fleet.backing_off_count,
    )
    add(
        "fuchsiahatch_drained_zones",
        "Zones that the operator has drained.",
        lambda: len(entry.fleet.drains.zones),
    )
    add(
        "fuchsiahatch_kept_bytes",
        "Bytes of long answers that are kept.",
        lambda: entry.kept.held_bytes,
    )
    add(
        "fuchsiahatch_received_bytes",
        "Bytes that are held of callers' requests.",
        lambda: process.share.received.total_bytes,
    )
    add(
        "fuchsiahatch_caller_connections",
        "Open connections of callers.",
        lambda: len(entry.callers.connections),
    )
    add("fuchsiahatch_log_dropped", "Lines.", lambda: process.log.dropped)
