"""Clock, result codes, events, settings and identities."""
