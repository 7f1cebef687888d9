"""Scheduling decisions: queueing, admission, placement, retries, scaling.

Nothing here opens a socket, starts a thread or reads a clock: time is passed
in as `now_s`, randomness as a seeded generator. Each decision can therefore be
tested and measured in virtual time, and runs unchanged in the entry.

The subpackage imports only `kernel` and `document.schema` (plain dataclasses);
`cardamombarrow/tests/test_imports.py` checks this.
"""
