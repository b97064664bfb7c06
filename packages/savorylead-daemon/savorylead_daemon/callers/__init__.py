"""The callers' HTTP interface: submit, wait for answers, list, cancel."""

from ._bodies import BodyReader
from ._encoding import task_page_document
from ._routes import caller_routes

__all__ = ["BodyReader", "caller_routes", "task_page_document"]
