"""Fixtures shared by the tests of all decisions."""

from cardamombarrow.decisions.tests import fixtures

document = fixtures.document
new_job = fixtures.new_job
context = fixtures.context
new_dispatcher = fixtures.new_dispatcher
