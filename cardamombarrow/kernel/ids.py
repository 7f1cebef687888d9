"""Identifiers: distinct types, so that one is not passed for another."""

import secrets
import typing

__all__ = [
    "ClassId",
    "DomainId",
    "EditId",
    "EndpointId",
    "Fingerprint",
    "InstanceId",
    "ModelId",
    "OwnerId",
    "RequestId",
    "Revision",
    "ServiceId",
    "TierId",
    "WorkspaceId",
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
OwnerId = typing.NewType("OwnerId", str)
EditId = typing.NewType("EditId", str)
Fingerprint = typing.NewType("Fingerprint", str)
Revision = typing.NewType("Revision", int)


def new_request_id() -> RequestId:
    """Returns a request id of 96 random bits, unique among instances."""
    return RequestId(secrets.token_hex(12))
