"""The configuration document: schema, parsing, validation and edits.

The document is one long INI text whose sections are owned by different teams.
The system's behaviour changes only by accepted edits to it.
"""
