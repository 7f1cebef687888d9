"""Reads and edits by a control process that has not applied its log yet."""

from concurrent import futures
import io
import json

import pytest
from werkzeug import test as werkzeug_test

from cardamombarrow.admin import app
from cardamombarrow.control import state
from cardamombarrow.document import formats
from cardamombarrow.document import machine
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.log import base
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.control import control_pb2


class _LaggingLog(base.Log):
    """Applies the earlier commands only when a barrier is requested."""

    def __init__(self, applied, commands):
        self._state = applied
        self._commands = commands
        self._index = 0
        self.barriers = 0

    def propose(self, command):
        future = futures.Future()
        self._index += 1
        future.set_result(self._state.apply(self._index, command))
        return future

    def barrier(self):
        self.barriers += 1
        commands, self._commands = self._commands, []
        for command in commands:
            self.propose(command)
        future = futures.Future()
        future.set_result(b"")
        return future

    def change(self, change):
        raise NotImplementedError

    def find(self, name):
        return None

    def status(self):
        return base.LogStatus("a", "b", 1, 0, ("a", "b"), (), True, True)

    def start(self):
        """Does nothing."""

    def stop(self):
        """Does nothing."""


def _request(kandula_text, method, path, body=b"", token="sales-token"):
    edition = machine.Edition(3, kandula_text, formats.SECTIONS)
    wire = codec.edition_to_wire(edition)
    command = control_pb2.Command(edition=wire)
    applied = state.ControlState()
    log = _LaggingLog(applied, [command.SerializeToString()])
    builder = werkzeug_test.EnvironBuilder(
        path,
        method=method,
        input_stream=io.BytesIO(body),
        content_length=len(body),
        headers={"Authorization": f"Bearer {token}"},
    )
    response = werkzeug_test.run_wsgi_app(
        app.AdminApp(log, applied, dict), builder.get_environ()
    )
    content, status, _ = response
    return status, json.loads(b"".join(content)), log


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("GET", "/v1/document?fresh=yes", b""),
        (
            "POST",
            "/v1/edits",
            json.dumps(
                {
                    "edit_id": "a",
                    "base_revision": 1,
                    "replacements": {
                        "tier:race": "rank = 0\nreserved_share = 0.1\n"
                    },
                }
            ).encode(),
        ),
    ],
)
def test_a_process_applies_its_log_before_it_authenticates(
    kandula_text, method, path, body
):
    # All control processes were restarted and have elected a leader, but this
    # one has not applied its log yet, as it may on a busy machine. It had no
    # tokens to compare and rejected a valid operator.
    status, content, log = _request(kandula_text, method, path, body)
    assert status.startswith("200"), content
    assert log.barriers


def test_a_status_request_does_not_wait_for_the_log(kandula_text):
    # Without a leader, a status request must not block until one is elected.
    status, content, log = _request(kandula_text, "GET", "/v1/status")
    assert status.startswith("503")
    assert content["error"]["code"] == "not_ready"
    assert log.barriers == 0


_ODD_BODIES = [
    *odd_values.JSON_VALUES,
    *(
        f'{{"edit_id": "a", "base_revision": {each}, "replacements": {{}}}}'
        for each in odd_values.JSON_VALUES
    ),
    *(f'{{"number": {each}, "text": "a"}}' for each in odd_values.JSON_VALUES),
    *(f'{{"number": 9, "text": {each}}}' for each in odd_values.JSON_VALUES),
    *(
        f'{{"edit_id": {each}, "base_revision": 1, "replacements": {{}}}}'
        for each in odd_values.JSON_VALUES
    ),
    *(
        f'{{"change": "remove", "member": {each}}}'
        for each in odd_values.JSON_VALUES
    ),
]


@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", "/v1/edits"), ("PUT", "/v1/editions"), ("POST", "/v1/members")],
)
def test_an_odd_body_gets_an_answer(kandula_text, method, path):
    # Guards against a status of 500, upon which an operator sends it again.
    statuses = set()
    for body in _ODD_BODIES:
        status, content, _ = _request(
            kandula_text, method, path, body.encode(), "operations-token"
        )
        statuses.add(status[:3])
        assert content
    assert statuses <= {"200", "400", "404", "409", "422"}
