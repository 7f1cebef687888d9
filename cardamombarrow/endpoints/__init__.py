"""Kinds of endpoints: their HTTP protocols and load reports."""
