"""The users' platform: its names, formats and calls, as plug-ins.

This package translates and decides nothing. Whatever is decided, and whatever
is kept, is the product's; nothing outside this package knows these names.
Loading it registers

- `configuration`: the format of the operator's documents,
- `operator`: the calls that operators make,
- `caller`: how callers say what they want,
- `servers`: how endpoints are spoken to,
- `listing`: the list of endpoints,
- `duties`: usage reports and orders of endpoints.
"""

from cardamombarrow.platform import caller
from cardamombarrow.platform import configuration
from cardamombarrow.platform import duties
from cardamombarrow.platform import listing
from cardamombarrow.platform import operator
from cardamombarrow.platform import servers

__all__ = [
    "caller",
    "configuration",
    "duties",
    "listing",
    "operator",
    "servers",
]
