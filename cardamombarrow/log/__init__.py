"""The replicated log: consensus among the voters on a sequence of commands.

The commands are opaque to the log; a `base.StateMachine` applies them once
they are committed.
"""
