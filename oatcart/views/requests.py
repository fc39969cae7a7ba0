"""Calls to the control role as they stand on the wire, and the refusals that answer them. Free of I/O."""

from typing import NamedTuple
from urllib.parse import parse_qs, unquote

import orjson

from oatcart.net.codec import ENDPOINT_LIST_PATH

GET = b"GET"
VIEWS_PATH = "/v1/views"
WAIT_MOST_MS = 60_000  # the protocol's
NAME_SHOWN = 80  # letters of what is refused
OK, BAD_REQUEST, NOT_FOUND, METHOD_NOT_ALLOWED, UNAVAILABLE = 200, 400, 404, 405, 503


class RefusedRequest(Exception):
    """A call that cannot be answered with a list: its status, what is refused and why."""

    def __init__(self, status: int, what: str, why: str) -> None:
        super().__init__(f"{status}: {what}: {why}")
        self.status, self.what, self.why = status, what, why

    @property
    def body(self) -> bytes:
        """The refusal as JSON."""
        return orjson.dumps({"error": self.what, "why": self.why})


class ListRequest(NamedTuple):
    """A call for a view's list. `since`: the revision in hand, None for the whole list. `wait`: s."""

    view: str
    since: int | None = None
    wait: float = 0.0


class StatusRequest(NamedTuple):
    """A call for how the control role stands."""


def parse_request(method: bytes, target: bytes, own_view: str | None) -> ListRequest | StatusRequest:
    """The call that a request line stands for; raises RefusedRequest. `own_view`: the conductor whose address
    was called, None at the main address."""
    if method != GET:
        raise RefusedRequest(METHOD_NOT_ALLOWED, _shown(method), "only GET is served")
    path, _, query = target.decode("ascii", "replace").partition("?")
    if own_view is not None:
        if path != ENDPOINT_LIST_PATH:
            raise RefusedRequest(
                NOT_FOUND, _shown(path), f"this is the address of {own_view}; it serves {ENDPOINT_LIST_PATH}"
            )
        return _list_request(own_view, query)
    if path == VIEWS_PATH:
        return StatusRequest()
    name = path.removeprefix(VIEWS_PATH + "/").removesuffix("/servers")
    if path != f"{VIEWS_PATH}/{name}/servers" or not name or "/" in name:
        served = f"{VIEWS_PATH}/NAME/servers and {VIEWS_PATH}"
        raise RefusedRequest(NOT_FOUND, _shown(path), f"this address serves {served}; NAME is a conductor's")
    return _list_request(unquote(name), query)


def _list_request(view: str, query: str) -> ListRequest:
    fields = {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()}
    if "since" not in fields:
        return ListRequest(view)
    since = _count("since", fields["since"])
    wait_ms = min(WAIT_MOST_MS, _count("timeout_ms", fields.get("timeout_ms", "0")))
    return ListRequest(view, since, wait_ms / 1000)


def _count(field: str, value: str) -> int:
    if not (value.isascii() and value.isdigit()) or len(value) > 16:
        raise RefusedRequest(BAD_REQUEST, f"{field}={_shown(value)}", "it is no whole number")
    return int(value)


def _shown(text: str | bytes) -> str:
    if isinstance(text, bytes):
        text = text.decode("ascii", "replace")
    return text[:NAME_SHOWN]
