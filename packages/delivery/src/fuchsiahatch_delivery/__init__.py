"""Attempts, tickets and at-most-once delivery."""
