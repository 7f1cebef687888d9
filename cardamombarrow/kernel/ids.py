"""Identifiers: one type each, so that type checkers tell them apart."""

import secrets
import typing

__all__ = [
    "UNKNOWN_SOFTWARE",
    "ClassId",
    "DomainId",
    "EditId",
    "EndpointId",
    "Fingerprint",
    "InstanceId",
    "ModelId",
    "OwnerId",
    "PartKey",
    "RequestId",
    "Revision",
    "RouteId",
    "ServiceId",
    "SoftwareVersion",
    "TierId",
    "WorkspaceId",
    "address_of",
    "endpoint_id",
    "identity_of",
    "new_request_id",
]

InstanceId = typing.NewType("InstanceId", str)
DomainId = typing.NewType("DomainId", str)
WorkspaceId = typing.NewType("WorkspaceId", str)
EndpointId = typing.NewType("EndpointId", str)
ServiceId = typing.NewType("ServiceId", str)
ModelId = typing.NewType("ModelId", str)
ClassId = typing.NewType("ClassId", str)
TierId = typing.NewType("TierId", str)
RequestId = typing.NewType("RequestId", str)
RouteId = typing.NewType("RouteId", str)
OwnerId = typing.NewType("OwnerId", str)
EditId = typing.NewType("EditId", str)
Fingerprint = typing.NewType("Fingerprint", str)
PartKey = typing.NewType("PartKey", int)
SoftwareVersion = typing.NewType("SoftwareVersion", str)
Revision = typing.NewType("Revision", int)

UNKNOWN_SOFTWARE = SoftwareVersion("")
"""Version of an endpoint's software where no list states it."""


def new_request_id() -> RequestId:
    """Returns a request id of 96 random bits, unique among instances."""
    return RequestId(secrets.token_hex(12))


_IDENTITY_SEPARATOR = "#"


def endpoint_id(address: str, identity: str = "") -> EndpointId:
    """Returns the id of an endpoint.

    An address may be reused by another endpoint after one has ended. With the
    identity in the id, statistics of the first are not applied to the second.

    Args:
        address: ``host:port``.
        identity: The endpoint's own id, as it reports it; empty if unknown.
    """
    separator = _IDENTITY_SEPARATOR if identity else ""
    return EndpointId(f"{address}{separator}{identity}")


def address_of(endpoint: EndpointId) -> str:
    """Returns the address ``host:port`` of an endpoint."""
    return endpoint.partition(_IDENTITY_SEPARATOR)[0]


def identity_of(endpoint: EndpointId) -> str:
    """Returns the identity in an endpoint's id; empty if unknown."""
    return endpoint.partition(_IDENTITY_SEPARATOR)[2]
