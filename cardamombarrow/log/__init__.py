"""The replicated log: agreement among the voters on a sequence of commands.

It knows nothing of what it replicates: a `base.StateMachine` applies the
committed commands.
"""
