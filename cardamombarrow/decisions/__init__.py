"""Decisions under load: whom to serve, who waits, who is refused, where to.

Nothing here opens a socket, starts a thread or reads a clock: time comes in
as `now_s`, randomness as a seeded generator. So each decision can be read,
tested and measured in virtual time, and runs unchanged in the entry.

The subpackage imports only `kernel` and `document.schema` (plain dataclasses);
`cardamombarrow/tests/test_imports.py` holds it to that.
"""
