"""Resumption of streams by callers, at any entry.

Events that two software versions write do not fit together, so an entry has to
know which version began a stream that it resumes.
"""
