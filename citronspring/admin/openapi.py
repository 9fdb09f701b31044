"""Generate the OpenAPI document from the operations."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from citronspring import __version__
from citronspring.admin.problems import MEDIA_TYPE, STATUS_BY_KIND

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citronspring.admin.operations import Operation

PROBLEM_SCHEMA = {
    "type": "object",
    "required": ["type", "title", "status", "kind", "detail", "remedy"],
    "properties": {
        "type": {"type": "string"},
        "title": {"type": "string"},
        "status": {"type": "integer"},
        "kind": {"enum": sorted(STATUS_BY_KIND)},
        "detail": {"type": "string"},
        "remedy": {"type": "string"},
        "change_id": {"type": "string"},
        "changed": {"enum": ["nothing", "unknown"]},
    },
}


def make_openapi_document(operations: Iterable[Operation]) -> dict[str, Any]:
    """Return the OpenAPI document of these operations."""
    paths: dict[str, dict[str, Any]] = {}
    for operation in operations:
        methods = paths.setdefault(operation.path, {})
        methods[operation.method.lower()] = describe_operation(operation)
    return {
        "openapi": "3.1.0",
        "info": {"title": "citronspring administration", "version": __version__},
        "components": {
            "schemas": {"Problem": PROBLEM_SCHEMA},
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
        "paths": paths,
    }


def describe_operation(operation: Operation) -> dict[str, Any]:
    """Return the OpenAPI object of one operation."""
    problem = {"$ref": "#/components/schemas/Problem"}
    operation_object: dict[str, Any] = {
        "summary": operation.summary,
        "operationId": operation.handle.__name__,
        "x-role": operation.role.name.lower(),
        "parameters": [
            {
                "name": name,
                "in": "path",
                "required": True,
                "schema": {"type": "string"},
            }
            for name in re.findall(r"{(\w+)}", operation.path)
        ],
        "responses": {
            "2XX": {"description": "Done, or started if the status is 202."},
            "default": {
                "description": "A problem document; `kind` identifies the error.",
                "content": {MEDIA_TYPE: {"schema": problem}},
            },
        },
    }
    if operation.body is not None:
        schema = operation.body.model_json_schema()
        operation_object["requestBody"] = {
            "content": {"application/json": {"schema": schema}}
        }
    return operation_object
