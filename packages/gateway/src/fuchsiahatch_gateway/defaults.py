"""Times and limits that more than one module of the gateway shares."""

#: Lease of an entry's registration. One that dies is named by no lookup after this.
REGISTRATION_TTL_MS = 3_000
#: How often leases are renewed: twice may fail before one ends.
LEASE_RENEWAL_INTERVAL_MS = 900
#: Pause before a failed call to the store is made again, by the one part of a process
#: that asks whether it is back.
STORE_RETRY_MS = 350
#: Time for which the other parts wait for its answer before they ask as well. With all
#: of them asking each 250 ms, an outage of 8 s cost 2,000 calls, 0.02 of a day's worth.
STORE_RECOVERY_TIMEOUT_MS = 2_500
#: Pause before all is read anew because the store has forgotten its history.
HISTORY_RETRY_MS = 100
#: Time after the store's return in which entries that lapsed meanwhile are back, if
#: their owners live; the platform says about two seconds.
LAPSE_GRACE_MS = 2_300
#: Lease of a rank group's leader. Shorter than a stream's caller waits for an event,
#: so that a group that a dead leader holds goes on before its callers leave.
LEADER_TTL_MS = 1_500
#: How often a leader renews its lease.
LEADER_RENEWAL_INTERVAL_MS = 450
#: How often an agent reads its upstream's report and counts.
REPORT_INTERVAL_MS = 100
#: Age beyond which an upstream's load report counts for nothing.
MAX_LOAD_AGE_MS = 1_000
#: Prefix of the keys in the store that each agent follows.
KEY_PREFIX = "fuchsiahatch/"
#: Registrations of entries, by node. Outside `KEY_PREFIX`: each start and end of one
#: would be a call of each agent.
ENTRIES_PREFIX = "fuchsiahatch-entries/"
#: Leaders of rank groups, by group.
LEADERS_PREFIX = KEY_PREFIX + "leaders/"
#: What leaders of rank groups need of the configuration, by service.
ENGINES_PREFIX = KEY_PREFIX + "engines/"
#: The store's era, once somebody has seen it last for as long as a leader's lease.
SETTLED_ERA_KEY = KEY_PREFIX + "settled-era"
#: Requests that are held back, by fingerprint. Outside `KEY_PREFIX`, which each agent
#: follows: they are no matter of agents.
HELD_PREFIX = "fuchsiahatch-held/"
#: Port of agents' datagrams among the internal ones; entries use the first.
AGENT_PORT_OFFSET = 1
#: Time that callers may keep a lookup answer.
LOOKUP_TTL_S = 2
#: Entries that one lookup answer names at most.
MAX_LOOKUP_ENTRIES = 64
#: How long a stopping entry still takes requests of callers that hold an older lookup
#: answer; longer than `LOOKUP_TTL_S`.
LINGER_MS = 2_500
#: Time kept back from the platform's grace, so that the process ends by itself.
GRACE_RESERVE_MS = 700
#: When a refused caller is told to come back.
RETRY_AFTER_S = 0.4
#: Shares of that time between which it is drawn: callers that were refused together
#: would come back together, and be refused again.
RETRY_AFTER_SPREAD = (0.75, 1.5)
