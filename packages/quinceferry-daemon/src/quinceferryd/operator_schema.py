"""Generates the OpenAPI schema of the operator API from its routes.

Run ``python -m quinceferryd.operator_schema`` after changing the messages or replies, and commit
the generated file.
"""

from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import msgspec
from litestar import Litestar
from litestar.openapi import OpenAPIConfig
from litestar.openapi.spec import Components, SecurityScheme

from quinceferryd.operator_api import SCHEMA_FILE_NAME, build_operator_routes
from quinceferryd.operator_interfaces import OperatorApplication

SCHEMA_PATH = Path(__file__).with_name(SCHEMA_FILE_NAME)
"""Path of the committed schema."""

_SECURITY_SCHEME_NAME = "operatorKey"


def schema_document(routes: list[Any]) -> bytes:
    """Return the OpenAPI 3.1 document of the operator API as JSON.

    :param routes: routes as returned by ``build_operator_routes``.
    """
    scheme = SecurityScheme(type="http", scheme="bearer", description="The operators' key.")
    config = OpenAPIConfig(
        title="quinceferry operator API",
        version="1",
        description=(
            "Each call is a POST with a JSON message. A change carries an operation id, under "
            "which it may be repeated safely, and the revision it was decided on."
        ),
        components=Components(security_schemes={_SECURITY_SCHEME_NAME: scheme}),
        security=[{_SECURITY_SCHEME_NAME: []}],
    )
    app = Litestar(routes, openapi_config=config, logging_config=None)
    document = msgspec.json.encode(app.openapi_schema.to_schema(), order="sorted")
    return msgspec.json.format(document, indent=2) + b"\n"


def main() -> None:
    """Write the schema to ``SCHEMA_PATH``."""
    routes = build_operator_routes(cast(OperatorApplication, SimpleNamespace(blackboard=None)))
    SCHEMA_PATH.write_bytes(schema_document(routes))


if __name__ == "__main__":
    main()
