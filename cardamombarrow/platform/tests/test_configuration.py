"""Tests of the conversion of configurations to documents."""

import json

import pytest

from cardamombarrow.decisions import messages
from cardamombarrow.document import machine
from cardamombarrow.kernel import errors
from cardamombarrow.kernel import ids
from cardamombarrow.kernel.tests import odd_values
from cardamombarrow.peers.control import codec
from cardamombarrow.peers.placing import codec as placing_codec
from cardamombarrow.platform import configuration

_FORMAT = configuration.ConfigurationFormat()


def test_a_configuration_becomes_a_document(make):
    document = _FORMAT.parse(make["configuration"]())
    route = document.routes["letter"]
    request_class = document.classes[route.class_id]
    assert route.services == {"letters": 1.0}
    assert route.path_prefix == "/letter/"
    assert request_class.target_first_token_s == 0.6
    assert request_class.target_total_s == 5.0
    assert request_class.repeatable
    assert document.tier_of(route.class_id).rank == 1
    assert document.workspaces["clinic"].rank == 0
    assert document.services["letters"].slots_per_endpoint == 64
    assert document.limits.header_timeout_s == 3.0
    assert configuration.version_of(make["configuration"]()) == 7


@pytest.mark.parametrize(
    ("changes", "repeatable"),
    [
        ({"routeKind": "idempotent"}, True),
        ({"routeKind": "non_idempotent"}, False),
        ({"routeKind": "non_idempotent", "resumable": True}, False),
        ({"resumable": False}, False),
        ({"resumable": True}, True),
    ],
)
def test_repeatable_follows_from_the_route_kind(make, changes, repeatable):
    text = make["configuration"](routes=[make["route"](**changes)])
    document = _FORMAT.parse(text)
    assert document.classes["letter"].repeatable is repeatable


def test_without_tenants_no_request_needs_a_key(make):
    text = make["configuration"]().replace('"tenants"', '"others"')
    assert _FORMAT.parse(text).routes["letter"].anonymous


def test_a_split_gives_weights(make):
    split = [
        {"service": "letters", "weight": 90},
        {"service": "new", "weight": 10},
    ]
    text = make["configuration"](
        routes=[make["route"](split=split)],
        services=[make["service"](), make["service"]("new")],
    )
    services = _FORMAT.parse(text).routes["letter"].services
    assert services == {"letters": 90.0, "new": 10.0}


_BAD_ROUTES = [
    ({"service": "unknown"}, "no [service:unknown]"),
    ({"timeoutMs": 0}, "timeoutMs"),
    ({"timeoutMs": "5"}, "not a number"),
    ({"pathPrefix": "/letter"}, "slash"),
    ({"routeKind": "other"}, "routeKind"),
    ({"split": [{"service": "letters", "weight": 0}]}, "weights"),
    ({"host": None}, "not text"),
    ({"service": None}, "not text"),
]


@pytest.mark.parametrize(("changes", "reason"), _BAD_ROUTES)
def test_a_bad_route_makes_the_configuration_invalid(make, changes, reason):
    text = make["configuration"](routes=[make["route"](**changes)])
    with pytest.raises(errors.ConfigError) as caught:
        _FORMAT.parse(text)
    assert reason in str(caught.value)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"routes": None}, "routes: not a list"),
        ({"services": {}}, "services: not a list"),
        ({"routes": [7]}, "routes[0]"),
        ({"limits": {"maxBodyBytes": None}}, "limits"),
        (
            {
                "tenants": [
                    {"name": "a", "apiKeys": ["key"]},
                    {"name": "b", "apiKeys": ["key"]},
                ]
            },
            "one of its keys",
        ),
    ],
)
def test_a_bad_part_makes_the_configuration_invalid(make, changes, reason):
    with pytest.raises(errors.ConfigError) as caught:
        _FORMAT.parse(make["configuration"](**changes))
    assert reason in str(caught.value)


def test_two_routes_with_one_prefix_are_invalid(make):
    twins = [make["route"](), make["route"]("twin", pathPrefix="/letter/")]
    with pytest.raises(errors.ConfigError, match="belong to"):
        _FORMAT.parse(make["configuration"](routes=twins))


@pytest.mark.parametrize("share", [0.1, 0.5, 0.9, 0.999])
def test_a_truncated_configuration_is_invalid(make, share):
    text = make["configuration"]()
    with pytest.raises(errors.ConfigError):
        _FORMAT.parse(text[: int(share * len(text))])


@pytest.mark.parametrize("version", [None, "7", 7.5, True])
def test_a_version_that_is_not_an_integer_is_refused(make, version):
    with pytest.raises(errors.ConfigError):
        configuration.version_of(make["configuration"](version=version))


def test_ranks_compare_the_route_first_and_then_the_workspace(make):
    # Guards against long letters of a preferred workspace that are served
    # before all questions of the others.
    routes = [make["route"](f"r{rank}", priority=rank) for rank in (0, 2)]
    tenants = [
        {"name": "a", "apiKeys": ["1"], "priority": 1},
        {"name": "b", "apiKeys": ["2"], "priority": 1},
        {"name": "late", "apiKeys": ["3"], "priority": 5},
    ]
    document = _FORMAT.parse(
        make["configuration"](routes=routes, tenants=tenants)
    )

    def rank(route, workspace):
        return document.rank_of(route, document.workspaces[workspace])

    assert rank("r0", "a") == rank("r0", "b") < rank("r0", "late")
    assert rank("r0", "late") < rank("r2", "a") < rank("r2", "late")
    ranks = {tier.rank for tier in document.tiers.values()}
    assert {rank(r, w) for r in ("r0", "r2") for w in ("a", "late")} <= ranks


def test_a_new_workspace_does_not_change_the_ranks_of_others(make):
    # An operator adds a workspace with a rank before all others. Entries apply
    # the edition one after the other, while requests placed under the previous
    # one still run. If it changed the ranks of the same requests, an engine
    # would preempt a question of one edition for a letter of the other.
    routes = [make["route"](f"r{rank}", priority=rank) for rank in (0, 1, 2)]
    tenants = [{"name": "a", "apiKeys": ["1"], "priority": 1}]
    first = {"name": "first", "apiKeys": ["2"], "priority": 0}
    before, after = (
        _FORMAT.parse(make["configuration"](routes=routes, tenants=each))
        for each in (tenants, [*tenants, first])
    )
    for route in ("r0", "r1", "r2"):
        ranks = {
            document.rank_of(route, document.workspaces["a"])
            for document in (before, after)
        }
        assert len(ranks) == 1


def test_an_answer_that_does_not_stream_is_expected_to_be_short(make):
    # Before the first answer a short call was estimated as long as a whole
    # stream, so one that was sent to a dead endpoint was given up at half of
    # its time limit.
    text = make["configuration"](routes=[make["route"](routeKind="idempotent")])
    assert _FORMAT.parse(text).classes["letter"].expected_tokens == 1


@pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity", "1e400"])
def test_a_number_that_json_does_not_have_makes_it_unreadable(make, number):
    # Guards against a configuration that is acknowledged and fails each
    # request of a route.
    text = make["configuration"]().replace("5000", number)
    assert number in text
    with pytest.raises(errors.ConfigError, match="not JSON"):
        configuration.version_of(text)
    with pytest.raises(errors.ConfigError, match="not JSON"):
        _FORMAT.parse(text)


def _members(value, path=()):
    """Yields the path of each value that is no object or array."""
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, each in items:
            yield from _members(each, (*path, key))
    else:
        yield path


def _with(text, path, odd):
    raw = json.loads(text)
    inner = raw
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = "ODD"
    return json.dumps(raw).replace('"ODD"', odd)


@pytest.mark.parametrize("odd", odd_values.JSON_VALUES, ids=lambda t: t[:12])
def test_an_odd_value_is_refused_or_can_be_passed_on(make, odd):
    # Guards against configurations that are answered with an error of the
    # process, or taken although no message can hold their values.
    text = make["configuration"]()
    for path in _members(json.loads(text)):
        changed = _with(text, path, odd)
        try:
            number = configuration.version_of(changed)
            document = _FORMAT.parse(changed)
        except errors.ConfigError as error:
            assert str(error).encode(), path
            assert all(len(each) < 3_000 for each in error.mistakes), path
            continue
        edition = machine.Edition(number, changed, configuration.NAME)
        assert codec.edition_to_wire(edition).SerializeToString()
        for route in document.routes.values():
            assert placing_codec.job_to_wire(_job(document, route), 5.0)


def _job(document, route):
    request_class = document.classes[route.class_id]
    workspace = next(reversed(document.workspaces.values()))
    return messages.Job(
        request_id=ids.RequestId("r"),
        workspace=workspace.workspace,
        class_id=route.class_id,
        service=next(iter(route.services)),
        model=ids.ModelId(""),
        rank=document.rank_of(route.class_id, workspace),
        arrived_s=0.0,
        target_first_token_s=request_class.target_first_token_s,
        deadline_s=request_class.target_total_s,
        max_runs=route.max_attempts,
    )


def test_a_mistake_names_a_service_that_no_answer_can_hold(make):
    text = make["configuration"](routes=[make["route"](service="\ud800")])
    with pytest.raises(errors.ConfigError) as caught:
        _FORMAT.parse(text)
    assert str(caught.value).encode()
