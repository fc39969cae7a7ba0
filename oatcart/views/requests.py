"""Parses requests to the control role and encodes the bodies of rejections. Free of I/O.

The requests are described in the discovery protocol (`GET /v1/servers`) and in `docs/views-operations.md`.
"""

from typing import NamedTuple
from urllib.parse import parse_qs, unquote

import orjson

from oatcart.net.codec import ENDPOINT_LIST_PATH

GET = b"GET"
VIEWS_PATH = "/v1/views"
MAX_WATCH_TIMEOUT = 60.0  # s, set by the protocol; longer timeouts are reduced to it
MAX_SHOWN_CHARACTERS = 80  # of a rejected method, path or value
MAX_DIGITS = 16  # of a number in a query
OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED, UNAVAILABLE = 200, 400, 404, 405, 503


class RejectedRequestError(Exception):
    """A request that is answered with an error: the HTTP status, what is rejected, and the reason."""

    def __init__(self, status: int, subject: str, reason: str) -> None:
        super().__init__(f"{status}: {subject}: {reason}")
        self.status, self.subject, self.reason = status, subject, reason

    @property
    def body(self) -> bytes:
        """The body of the response, JSON."""
        return orjson.dumps({"error": self.subject, "why": self.reason})


class ListRequest(NamedTuple):
    """A request for a view. `since`: the revision that the client has, None for the complete list; `timeout`:
    s to wait for changes."""

    view: str
    since: int | None = None
    timeout: float = 0.0


class StatusRequest(NamedTuple):
    """A request for the state of the control role."""


def parse_request(method: bytes, target: bytes, own_view: str | None) -> ListRequest | StatusRequest:
    """Parses a request line; raises RejectedRequestError. `own_view`: the controller whose own address
    received the request, None at the main address."""
    if method != GET:
        raise RejectedRequestError(METHOD_NOT_ALLOWED, _truncated(method), "only GET is served")
    path, _, query = target.decode("ascii", "replace").partition("?")
    if own_view is not None:
        if path != ENDPOINT_LIST_PATH:
            raise RejectedRequestError(
                NOT_FOUND,
                _truncated(path),
                f"this is the address of {own_view}; it serves {ENDPOINT_LIST_PATH}",
            )
        return _list_request(own_view, query)
    if path == VIEWS_PATH:
        return StatusRequest()
    name = path.removeprefix(VIEWS_PATH + "/").removesuffix("/servers")
    if path != f"{VIEWS_PATH}/{name}/servers" or not name or "/" in name:
        paths = f"{VIEWS_PATH}/NAME/servers and {VIEWS_PATH}"
        raise RejectedRequestError(
            NOT_FOUND, _truncated(path), f"this address serves {paths}; NAME is the name of a controller"
        )
    return _list_request(unquote(name), query)


def _list_request(view: str, query: str) -> ListRequest:
    fields = {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()}
    if "since" not in fields:
        return ListRequest(view)
    since = _parse_count("since", fields["since"])
    timeout_ms = _parse_count("timeout_ms", fields.get("timeout_ms", "0"))
    return ListRequest(view, since, min(MAX_WATCH_TIMEOUT, timeout_ms / 1000))


def _parse_count(field: str, value: str) -> int:
    if not (value.isascii() and value.isdigit()) or len(value) > MAX_DIGITS:
        raise RejectedRequestError(
            BAD_REQUEST, f"{field}={_truncated(value)}", "expected a whole number of at most 16 digits"
        )
    return int(value)


def _truncated(text: str | bytes) -> str:
    if isinstance(text, bytes):
        text = text.decode("ascii", "replace")
    return text[:MAX_SHOWN_CHARACTERS]
