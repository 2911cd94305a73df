"""The two binaries and their wiring."""
