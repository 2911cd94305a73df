"""Reading single metrics of running processes."""

import re
import urllib.request

_TIMEOUT_S = 5


def read_metric(address: str, name: str) -> float:
    """Return the sum of a metric's series at a process's HTTP address."""
    url = f"http://{address}/metrics"
    with urllib.request.urlopen(url, timeout=_TIMEOUT_S) as answer:
        page = answer.read().decode()
    series = re.compile(rf"^{name}(?:\{{.*\}})? (\S+)$", re.MULTILINE)
    return sum(map(float, series.findall(page)))
