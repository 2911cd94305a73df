"""Times and limits that more than one module of the gateway shares."""

#: Lease of an entry's registration; lookups name a failed entry for up to this time.
REGISTRATION_TTL_MS = 3_000
#: Short enough for two renewals to fail before a lease expires.
LEASE_RENEWAL_INTERVAL_MS = 900
#: Delay before a failed call to the store is retried. While the store is down, only one
#: part of a process polls it.
STORE_RETRY_MS = 350
#: Time for which the other parts of the process wait for that poll to succeed before
#: they call the store themselves. With all of them polling every 250 ms, an outage of
#: 8 s cost 2,000 calls, 0.02 of a day's worth.
STORE_RECOVERY_TIMEOUT_MS = 2_500
#: Delay before everything is read again after the store has lost its change history.
HISTORY_RETRY_MS = 100
#: Time after the store's return within which the items of live owners whose leases
#: expired meanwhile are back; the platform states about two seconds.
LAPSE_GRACE_MS = 2_300
#: Lease of a rank group's leader. Shorter than the time for which a stream's caller
#: waits for an event: a group whose leader failed while it held a pass continues
#: before callers disconnect.
LEADER_TTL_MS = 1_500
LEADER_RENEWAL_INTERVAL_MS = 450
#: Interval at which an agent reads its upstream's report and counters.
REPORT_INTERVAL_MS = 100
#: Older load reports of an upstream are ignored.
MAX_LOAD_AGE_MS = 1_000
#: Prefix of the keys in the store that every agent watches.
KEY_PREFIX = "fuchsiahatch/"
#: Registrations of entries, by node. Outside `KEY_PREFIX`, where each start and end of
#: an entry would cost every agent a call to the store.
ENTRIES_PREFIX = "fuchsiahatch-entries/"
#: Leaders of rank groups, by group.
LEADERS_PREFIX = KEY_PREFIX + "leaders/"
#: The part of the configuration that leaders of rank groups need, by service.
ENGINES_PREFIX = KEY_PREFIX + "engines/"
#: The store's era, once a process has seen it last for as long as a leader's lease.
SETTLED_ERA_KEY = KEY_PREFIX + "settled-era"
#: What is held back, by names made of fingerprints. Outside `KEY_PREFIX`, as agents
#: don't need it.
HELD_PREFIX = "fuchsiahatch-held/"
#: Offset of the agents' datagram port from the first internal port, that of entries.
AGENT_PORT_OFFSET = 1
#: Time for which callers may cache a lookup answer.
LOOKUP_TTL_S = 2
MAX_LOOKUP_ENTRIES = 64
#: Time for which a stopping entry still accepts requests from callers with a cached
#: lookup answer; longer than `LOOKUP_TTL_S`.
LINGER_MS = 2_500
#: Part of the platform's grace period kept in reserve, so that the process exits by
#: itself before it is killed.
GRACE_RESERVE_MS = 500
#: Part of that reserve in which the last answers are sent.
END_FLUSH_MS = 150
#: Time from asking for a permit in which the issuer's reply counts. After a longer
#: stall of this host the permit is for an earlier time.
MAX_PERMIT_REPLY_MS = 120
#: Base of the Retry-After that a refused caller gets.
RETRY_AFTER_S = 0.4
#: Longest Retry-After without that factor: another upstream may register meanwhile.
MAX_RETRY_AFTER_MS = 30_000
#: Bounds of the random factor on `RETRY_AFTER_S`: callers that were refused at the same
#: time would otherwise retry at the same time and be refused again.
RETRY_AFTER_SPREAD = (0.75, 1.5)
