"""Account of the bytes that a process keeps of answers to callers."""

#: Bytes of all answers that are kept at most, where the host's memory isn't known.
MAX_KEPT_BYTES = 67_108_864
#: Bytes of each answer that aren't counted, so that short ones are always kept whole.
FREE_BYTES = 16_384


class KeptBytes:
    """Sum of the bytes that are kept of all answers.

    Parameters
    ----------
    max_bytes : int, optional

    Attributes
    ----------
    held_bytes : int
        Kept now, without the first `FREE_BYTES` of each answer.
    """

    __slots__ = ("_max_bytes", "held_bytes")

    def __init__(self, max_bytes: int = MAX_KEPT_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    def reserve(self) -> "Reservation":
        """Return the share of one answer, empty at first."""
        return Reservation(self)

    def resize(self, held_bytes: int, wanted_bytes: int) -> bool:
        """Change a share; return False and change nothing if too much would be kept."""
        total_bytes = self.held_bytes - held_bytes + wanted_bytes
        if wanted_bytes > held_bytes and total_bytes > self._max_bytes:
            return False
        self.held_bytes = total_bytes
        return True


class Reservation:
    """The share of one answer in the bytes that are kept.

    Parameters
    ----------
    account : KeptBytes

    Attributes
    ----------
    held_bytes : int
    """

    __slots__ = ("_account", "held_bytes")

    def __init__(self, account: KeptBytes) -> None:
        self._account = account
        self.held_bytes = 0

    def resize(self, answer_bytes: int) -> bool:
        """Hold the given bytes of the answer; return False if there is no room."""
        wanted_bytes = max(answer_bytes - FREE_BYTES, 0)
        if not self._account.resize(self.held_bytes, wanted_bytes):
            return False
        self.held_bytes = wanted_bytes
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self._account.resize(self.held_bytes, 0)
        self.held_bytes = 0
