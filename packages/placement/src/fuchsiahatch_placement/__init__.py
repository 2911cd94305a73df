"""Placement records, acceptance and freshness."""
