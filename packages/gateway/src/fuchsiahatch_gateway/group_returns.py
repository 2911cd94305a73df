"""How long rank groups are down after a crash of one of their upstreams."""

#: Time that is expected before one has been observed.
DEFAULT_RETURN_MS = 4_000
#: Longest time that counts: a group that is down for longer has lost an upstream for
#: another reason.
MAX_RETURN_MS = 15_000


class GroupReturns:
    """Estimates when the first of a service's crashed rank groups works again."""

    __slots__ = ("_crashed_ms", "_return_ms")

    def __init__(self) -> None:
        #: When groups crashed that haven't returned, by service and group.
        self._crashed_ms: dict[tuple[str, str], int] = {}
        #: The latest time that was observed, by service.
        self._return_ms: dict[str, int] = {}

    def note_crash(self, service: str, group: str, now_ms: int) -> None:
        """Note that a rank group has lost an upstream."""
        self._crashed_ms[service, group] = now_ms

    def note_open(self, service: str, group: str, now_ms: int) -> None:
        """Note that a rank group works."""
        crashed_ms = self._crashed_ms.pop((service, group), None)
        if crashed_ms is not None and now_ms - crashed_ms <= MAX_RETURN_MS:
            self._return_ms[service] = now_ms - crashed_ms

    def left_ms(self, service: str, now_ms: int) -> int | None:
        """Return the time until the first crashed group works; None without one."""
        usual_ms = self._return_ms.get(service, DEFAULT_RETURN_MS)
        expected = [
            crashed_ms + usual_ms - now_ms
            for (of_service, _), crashed_ms in self._crashed_ms.items()
            if of_service == service and now_ms - crashed_ms <= MAX_RETURN_MS
        ]
        return max(min(expected), 0) if expected else None
