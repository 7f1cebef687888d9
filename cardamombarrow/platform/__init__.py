"""Plug-ins for the platform: its names, formats and calls.

This package only translates. Decisions and state belong to the other packages,
and the platform's names are used in this package alone. Importing it registers

- `configuration`: the format of the operator's documents,
- `operator`: the calls that operators make,
- `caller`: the headers of callers' requests and answers,
- `servers`: the HTTP protocol of the endpoints,
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
