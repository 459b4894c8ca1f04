"""Resident memory of this process; imports nothing that counts."""

import resource


def now_mb():
    """Resident memory in MiB."""
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / (1 << 20)
