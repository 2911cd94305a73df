"""Clients of the platform services."""
