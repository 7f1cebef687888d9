"""Plug-ins for the platform: its names, formats and calls.

This package only translates. Decisions and state belong to the other packages,
and the platform's names are used in this package alone. Each module registers
its plug-ins when it is imported; the settings of a role name those it uses:

- `configuration`: the format of the operator's documents,
- `operator`: the calls that operators make,
- `caller`: the headers of callers' requests and answers,
- `servers`: the HTTP protocol of the endpoints,
- `listing`: the list of endpoints,
- `duties`: usage reports and orders of endpoints.
"""
