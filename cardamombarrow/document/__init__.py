"""The configuration document: schema, parsing, validation and edits.

The document is one long INI text whose sections are owned by different teams.
An accepted edit to it is the only way the system's behaviour changes.
"""
