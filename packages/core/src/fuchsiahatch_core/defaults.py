"""Constants that more than one package shares."""

#: Longest request body that an entry takes from a caller.
MAX_BODY_BYTES = 1_048_576
#: Longest part of a body over that limit that is read, so that its caller can send it
#: whole and then reads why it was refused.
MAX_EXCESS_BODY_BYTES = 4_194_304
#: What an entry holds of all callers' requests.
MAX_RECEIVED_BYTES = 67_108_864
#: Open connections of callers.
MAX_CALLER_CONNECTIONS = 1_000
#: Time that a request may take when its caller names no deadline.
DEADLINE_MS = 30_000
#: Longest deadline a caller may ask for.
MAX_DEADLINE_MS = 600_000
#: How long a caller may cache a lookup answer.
LOOKUP_KEEP_MS = 30_000
#: Retry delay given to a refused caller when there is no better estimate.
RETRY_AFTER_MS = 1_000
#: How often hosts poll the host list and agents report.
HEARTBEAT_MS = 1_000
#: Silence after which an agent or entry is considered unreachable.
SUSPECT_AFTER_MS = 3_000
#: An entry admits work only within this time of a confirmed revision.
FRESH_MS = 3_000
#: Prefix of every key that fuchsiahatch writes in the key-value service.
KEY_PREFIX = "fuchsiahatch/"
#: A home keeps keys and answers for this time after their last change.
RETENTION_MS = 900_000
#: Time after a ticket or a binding is made in which a caller may retry its key.
RETRY_WINDOW_MS = 600_000
#: Homes that a ticket names.
TICKET_HOMES = 3
#: Memory of a home for one team's keys and kept answers.
TEAM_LEDGER_BYTES = 33_554_432
#: Memory of a home for the keys and kept answers of all teams.
LEDGER_BYTES = 67_108_864
#: Calls per second to the key-value service that one entry makes for bindings.
BINDING_CALLS_PER_S = 10
#: Such calls that it may make at once after idle time.
BINDING_CALL_BURST = 30
#: How long a stopping process still answers that another one should be used.
LEAVE_LINGER_MS = 1_500
