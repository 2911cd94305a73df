"""Liveness, leaving and load of hosts."""
