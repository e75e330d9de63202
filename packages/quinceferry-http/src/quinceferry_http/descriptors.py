"""How many descriptors a process may have open."""

import resource


def count_descriptors(configured: int = 0) -> int:
    """Return how many descriptors the process may have open.

    :param configured: the number in the settings, 0 if there is none.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(allowed, configured) if configured else allowed
