"""Memory that all connections of a process may use together."""

from collections.abc import Callable

DEFAULT_MAX_BYTES = 256 * 1024 * 1024


class ConnectionMemory:
    """Counts the bytes that connections hold for their clients, and makes room for more.

    It is counted, not measured: requests that have arrived in part or are unanswered, and bytes of
    answers that clients have not read.

    :param max_bytes: most bytes at a time; what is read at once may exceed it for a moment.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._evictions: list[Callable[[], bool]] = []

    def allow(self, size: int) -> None:
        """Allow at least as many bytes, such as for one request of the largest permitted size."""
        self._max_bytes = max(self._max_bytes, size)

    def resize(self, old_size: int, new_size: int) -> None:
        """Record that a connection holds more or fewer bytes than before."""
        self._used_bytes += new_size - old_size

    def add_eviction(self, evict_one: Callable[[], bool]) -> None:
        """Add a function that frees the bytes of one client, and returns whether there was one."""
        self._evictions.append(evict_one)

    def make_room(self) -> bool:
        """Evict clients until the bytes in use are within the limit; return whether they are."""
        while self._used_bytes > self._max_bytes:
            if not any(evict_one() for evict_one in self._evictions):
                return False
        return True
