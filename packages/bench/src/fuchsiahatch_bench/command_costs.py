"""What one use of the operators' command costs."""

import os
import pathlib
import subprocess
import sys

_MS_PER_S = 1_000
_BYTES_PER_KIB = 1_024


def measure_command(entry: str) -> dict[str, float]:
    """Run ``fuchsiahatch lookup`` once; return its milliseconds and memory.

    Parameters
    ----------
    entry : str
        ``ip:port`` of a running entry.
    """
    program = str(pathlib.Path(sys.executable).parent / "fuchsiahatch")
    process = subprocess.Popen(
        [program, "--entry", entry, "lookup"], stdout=subprocess.DEVNULL
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"the command ended with {process.returncode}")
    return {
        "cpu_ms": (usage.ru_utime + usage.ru_stime) * _MS_PER_S,
        "rss_bytes": usage.ru_maxrss * _BYTES_PER_KIB,
    }
