"""Tests of fuchsiahatch; the one reactor is installed before any module wants it."""

from tests import loopback

__all__ = ["loopback"]
