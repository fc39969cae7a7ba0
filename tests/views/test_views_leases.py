"""Leases of controllers at the control role: expiry, retention and renewal. Also calls that wait until a view
is decided."""

import re
from pathlib import Path

import orjson
import pytest
from views_harness import BOUNDS, Harness, endpoint_entry, ids, served_controller

from oatcart.errors import InvalidConfigurationError
from oatcart.net.http_client import HttpClient
from oatcart.views.configuration import Configuration
from oatcart.views.configuration_file import read
from oatcart.views.decisions import RecordChanges, ViewDecider
from oatcart.views.leases import LeaseTable
from oatcart.views.liveness import LivenessSettings
from oatcart.views.publisher import endpoint_record
from oatcart.views.records import ViewLimits
from oatcart.views.role import VIEWS_PER_TURN

SHIPPED = Path(__file__).parents[2] / "deploy" / "views.yaml"
NAMES = [f"c{number}" for number in range(8)]
LIMITS = ViewLimits(max_endpoints=10)
QUICK = LivenessSettings(
    lease_duration=0.1, grace_period=0.2, retention=60.0, mass_expiry_share=0.2, mass_expiry_count=1
)
OVERDUE = QUICK.lease_duration + QUICK.grace_period
MAX_TURNS = 30  # of the loop, until all views are handled
PATIENT = LivenessSettings(
    lease_duration=0.1, grace_period=30.0, retention=60.0, mass_expiry_share=0.2, mass_expiry_count=1
)


def fleet():
    return [endpoint_entry(f"s-{number:02}", "ab"[number % 2], service="x") for number in range(40)]


def make_harness(leases, names=NAMES, bounds=BOUNDS):
    return Harness([served_controller(name, ["x"]) for name in names], bounds, limits=LIMITS, leases=leases)


@pytest.fixture
def start_harness():
    """Creates harnesses whose first views are decided, and closes them."""
    opened = []

    def start(leases, names=NAMES):
        harness = make_harness(leases, names)
        opened.append(harness)
        harness.discovery.put(*fleet())
        harness.wait_ready()
        return harness

    yield start
    for harness in opened:
        harness.close()


class Caller:
    """A controller that fetches the complete list and then watches, at its own address or by name at the main
    address."""

    def __init__(self, harness, name, by_name=False):
        self.harness, self.complete_list = harness, None
        address = harness.role.main_listener.address if by_name else harness.role.address_of(name)
        self.path = f"/v1/views/{name}/servers" if by_name else "/v1/servers"
        self.client = HttpClient(harness.loop, address)
        self.task = harness.loop.spawn(self._run())
        harness.wait_until(lambda: self.complete_list is not None, f"the list of {name}")

    def _run(self):
        query = ""
        while True:
            body = yield from self.client.get(self.path + query, self.harness.loop.now + 8.0)
            response = orjson.loads(body)
            self.complete_list = response if response["complete"] else self.complete_list
            query = f"?since={response['revision']}&timeout_ms=5000"

    def stop(self):
        self.harness.loop.cancel(self.task)
        self.client.close()


def views(harness):
    return dict(harness.role.publisher.views)


def pairs(views_by_name):
    return {(name, endpoint_id) for name, view in views_by_name.items() for endpoint_id in view}


def decided_for(harness, names):
    """The views of these controllers, decided from scratch."""
    publisher = harness.role.publisher
    fields = publisher.configuration.endpoint_fields
    return ViewDecider().decide(
        [
            RecordChanges(
                endpoints=[endpoint_record(entry, fields) for entry in publisher.entries.values()],
                controllers=[publisher.controllers[name] for name in names],
                limits=publisher.configuration.limits,
            )
        ]
    )


def call_complete(harness, name):
    return harness.call(harness.role.address_of(name), "/v1/servers")


def lease_status(harness):
    return harness.call(harness.role.main_listener.address, "/v1/views").result(harness)["leases"]


def undecided_status(harness):
    return harness.call(harness.role.main_listener.address, "/v1/views").result(harness)["undecided_calls"]


def raw_response(harness, name):
    request = b"GET /v1/servers HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    return harness.exchange(harness.role.address_of(name), request)


def wait_for_expiry(harness, name):
    """Waits until the lease of a controller has expired and the other views are decided without it."""
    others = [other for other in NAMES if other != name]
    harness.wait_until(lambda: views(harness) == decided_for(harness, others), f"the expiry of {name}")


# Over loopback.


def test_an_expired_lease_moves_only_its_share(start_harness):
    harness = start_harness(QUICK)
    callers = [Caller(harness, name) for name in NAMES]
    before = views(harness)
    callers[3].stop()
    wait_for_expiry(harness, "c3")
    after = views(harness)
    moved = max(len(pairs(before) - pairs(after)), len(pairs(after) - pairs(before)))
    # Where endpoints have 17 holders or fewer, the share and at most as much again moves.
    assert moved <= 2 * len(before["c3"])
    assert lease_status(harness) == {"silent": ["c3"], "doubted": 0}
    assert harness.has_logged("leases: 1 controllers (c3) expired")


def test_a_waiting_watch_renews_the_lease(start_harness):
    harness = start_harness(QUICK)
    callers = [Caller(harness, name, by_name=number % 2 == 0) for number, name in enumerate(NAMES)]
    revisions = [caller.complete_list["revision"] for caller in callers]
    harness.run_for(2 * OVERDUE)
    assert lease_status(harness) == {"silent": [], "doubted": 0}
    assert [caller.complete_list["revision"] for caller in callers] == revisions


def overdue_after(harness, calls):
    """The names of controllers that are overdue if they made no call during `calls`: leases that began before
    are checked at the end of their grace period."""
    harness.run_for(0.2)
    began = harness.loop.clock()
    calls()
    return set(
        harness.role.leases.check(began + PATIENT.lease_duration + PATIENT.grace_period - 0.05).retained
    )


def test_a_call_other_than_a_watch_renews_the_lease(start_harness):
    harness = start_harness(PATIENT)

    def calls():
        call_complete(harness, "c0").result(harness)
        harness.call(harness.role.main_listener.address, "/v1/views/c1/servers").result(harness)

    assert overdue_after(harness, calls) == set(NAMES[2:])


def test_a_call_that_is_answered_with_503_renews_the_lease():
    harness = make_harness(PATIENT)
    try:
        responses = []
        assert overdue_after(harness, lambda: responses.append(raw_response(harness, "c0"))) == set(NAMES[1:])
        assert responses[0].startswith(b"HTTP/1.1 503")
    finally:
        harness.close()


def test_a_restart_within_the_grace_period_moves_no_assignment(start_harness):
    harness = start_harness(PATIENT)
    callers = [Caller(harness, name) for name in NAMES]
    before, revision = views(harness), callers[3].complete_list["revision"]
    callers[3].stop()
    harness.run_for(3 * PATIENT.lease_duration)
    returned = Caller(harness, "c3")
    harness.run_for(2 * PATIENT.lease_duration)
    assert views(harness) == before and returned.complete_list["revision"] == revision
    assert not harness.has_logged("leases:")


def test_the_lapse_of_half_of_all_leases_at_once_moves_no_assignment(start_harness):
    harness = start_harness(QUICK)
    callers = [Caller(harness, name) for name in NAMES]
    before = views(harness)
    for caller in callers[:4]:
        caller.stop()
    harness.wait_until(
        lambda: harness.has_logged("overdue, a mass expiry: their leases are retained"), "the mass expiry"
    )
    (overdue,) = re.findall(r"leases: \d controllers \(([^)]*)\) overdue", harness.log_output.getvalue())
    assert set(overdue.split(", ")) <= set(NAMES[:4])  # the others of the four may be overdue a little later
    harness.wait_until(lambda: lease_status(harness)["doubted"] == 4, "all four retained")
    harness.run_for(1.5 * OVERDUE)
    assert views(harness) == before
    assert lease_status(harness) == {"silent": [], "doubted": 4}
    assert harness.log_output.getvalue().count("a mass expiry: their leases are retained") == 1


def test_a_control_role_just_started_expires_no_controller_before_its_first_call(start_harness):
    harness = start_harness(PATIENT)
    before = views(harness)
    harness.run_for(4 * PATIENT.lease_duration)
    assert len(before) == len(NAMES) and views(harness) == before
    assert ids(harness.get_view("c5")) == sorted(before["c5"])


def test_a_controller_that_never_calls_expires_after_the_grace_period(start_harness):
    harness = start_harness(QUICK)
    for name in NAMES:
        if name != "c3":
            Caller(harness, name)
    wait_for_expiry(harness, "c3")


def test_an_expired_controller_that_calls_gets_its_view_in_that_call_and_views_are_restored(start_harness):
    harness = start_harness(QUICK)
    callers = [Caller(harness, name) for name in NAMES]
    before = views(harness)
    callers[3].stop()
    wait_for_expiry(harness, "c3")
    returned = Caller(harness, "c3")
    assert ids(returned.complete_list) == sorted(before["c3"])
    harness.wait_until(lambda: views(harness) == before, "the views as before")
    assert lease_status(harness)["silent"] == [] and harness.has_logged(
        "leases: c3 called after its lease had expired"
    )
    assert undecided_status(harness) == {"held": 0, "answered": 1, "refused": 0}


def test_an_expired_controller_that_calls_during_a_decision_gets_503_and_no_empty_list(start_harness):
    harness = start_harness(QUICK)
    callers = [Caller(harness, name) for name in NAMES]
    callers[3].stop()
    wait_for_expiry(harness, "c3")
    deferred = []
    decide, harness.role.publisher.decide = harness.role.publisher.decide, deferred.append
    response = raw_response(harness, "c3")
    assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 1" in response
    for update in deferred:
        decide(update)
    served = ids(harness.get_view("c3"))
    assert served and served == sorted(views(harness)["c3"])


def test_a_view_decided_before_the_expiry_of_its_controller_is_not_published_afterwards(start_harness):
    """Failure: a decision in progress while a lease expires brings back the view of the controller,
    permanently."""
    harness = start_harness(PATIENT)
    view = views(harness)["c3"]
    harness.role.publisher.expire(["c3"])
    harness.role.publisher.apply_views({"c3": view})
    assert "c3" not in views(harness)


def test_leases_are_off_by_default_and_controllers_that_never_call_keep_their_views(start_harness):
    assert Configuration().leases is None
    harness = start_harness(None)
    before = views(harness)
    harness.run_for(2 * OVERDUE)
    assert views(harness) == before and len(before) == len(NAMES)
    assert lease_status(harness) is None and not harness.has_logged("leases:")


def test_a_reload_keeps_leases_and_expired_controllers(start_harness):
    harness = start_harness(QUICK)
    callers = [Caller(harness, name) for name in NAMES]
    callers[3].stop()
    wait_for_expiry(harness, "c3")
    callers[7].stop()
    listed = [one for one in harness.configuration.controllers if one.record.name != "c7"]
    listed.append(served_controller("new", ["x"]))
    new = harness.configuration._replace(controllers=tuple(listed), leases=PATIENT, limits=ViewLimits(9))
    assert "only a restart changes leases" in harness.role.reconfigure(new)
    alive = {*NAMES, "new"} - {"c3", "c7"}
    new_caller = Caller(harness, "new")
    harness.wait_until(lambda: views(harness) == decided_for(harness, alive), "the new views")
    assert lease_status(harness)["silent"] == ["c3"]
    new_caller.stop()
    harness.wait_until(
        lambda: lease_status(harness)["silent"] == ["c3", "new"], "the expiry of the new controller"
    )


# Calls that wait until a view is decided.


def test_a_call_before_the_first_list_waits_and_is_answered_with_the_view():
    harness = make_harness(None, bounds=BOUNDS._replace(undecided_timeout=3.0))
    try:
        early_calls = [call_complete(harness, name) for name in NAMES]
        harness.run_for(0.1)
        assert undecided_status(harness) == {"held": 8, "answered": 0, "refused": 0}
        began = harness.loop.clock()
        harness.discovery.put(*fleet())
        responses = [call.result(harness) for call in early_calls]
        assert max(call.finished_at for call in early_calls) - began < 2.0  # well before undecided_timeout
        decided = views(harness)
        assert [ids(response) for response in responses] == [sorted(decided[name]) for name in NAMES]
        assert all(decided.values())
        assert undecided_status(harness) == {"held": 0, "answered": 8, "refused": 0}
    finally:
        harness.close()


def test_a_waiting_call_is_answered_with_503_after_undecided_timeout():
    harness = make_harness(None)
    try:
        began = harness.loop.clock()
        rejected_call = call_complete(harness, "c0")
        harness.wait_until(lambda: rejected_call.is_done, "a response")
        assert "status 503" in str(rejected_call.error)
        assert BOUNDS.undecided_timeout <= rejected_call.finished_at - began < BOUNDS.undecided_timeout + 1.0
        assert undecided_status(harness) == {"held": 0, "answered": 0, "refused": 1}
    finally:
        harness.close()


def test_waiting_calls_of_one_controller_are_limited_and_end_with_their_connections():
    harness = make_harness(None, bounds=BOUNDS._replace(undecided_timeout=3.0, max_connections_per_view=2))
    try:
        calls = [call_complete(harness, "c0") for _ in range(5)]
        harness.wait_until(lambda: sum(call.is_done for call in calls) == 3, "the close of the oldest")
        assert undecided_status(harness)["held"] == 2
        for call in calls:
            call.client.close()
        harness.wait_until(lambda: undecided_status(harness)["held"] == 0, "the end of the calls")
    finally:
        harness.close()


def test_a_waiting_call_for_a_controller_removed_by_a_reload_is_rejected_at_once():
    harness = make_harness(None, bounds=BOUNDS._replace(undecided_timeout=3.0))
    try:
        call = harness.call(harness.role.main_listener.address, "/v1/views/c7/servers")
        harness.run_for(0.1)
        began = harness.loop.clock()
        harness.role.reconfigure(
            harness.configuration._replace(controllers=harness.configuration.controllers[:7])
        )
        harness.wait_until(lambda: call.is_done, "a response")
        assert "status 404" in str(call.error) and call.finished_at - began < 1.5
    finally:
        harness.close()


def max_in_one_turn(harness, handled, expected):
    """The maximum number of names added to `handled` in one turn of the loop, until there are `expected`."""
    largest = before = len(handled)  # a task runs up to its first wait as it is started
    for _ in range(MAX_TURNS):
        harness.loop.turn(0.01)
        largest, before = max(largest, len(handled) - before), len(handled)
    assert before == expected
    return largest


def test_waiting_calls_are_answered_over_several_turns_of_the_loop(start_harness):
    """Failure: a wait until `loop.now` ends in the same turn, so all views are handled in one long turn."""
    harness, handled = start_harness(None), []
    names = [f"view-{number}" for number in range(3 * VIEWS_PER_TURN)]
    harness.role.server.wake_undecided = handled.extend
    harness.loop.spawn(harness.role._answer_undecided(names))
    assert max_in_one_turn(harness, handled, len(names)) == VIEWS_PER_TURN and handled == names


def test_views_are_published_over_several_turns_of_the_loop(start_harness):
    """Failure: a wait until `loop.now` ends in the same turn, so all views are published in one long turn."""
    harness, handled = start_harness(None), []
    harness.wait_until(lambda: not harness.role.is_publishing, "all published")
    publisher, names = harness.role.publisher, [f"view-{number}" for number in range(3 * VIEWS_PER_TURN)]

    def publish(batch):
        handled.extend(batch)
        publisher.unpublished.difference_update(batch)
        return []

    publisher.publish = publish
    publisher.unpublished.update(names)
    harness.role._schedule_publication()
    assert max_in_one_turn(harness, handled, len(names)) == VIEWS_PER_TURN and sorted(handled) == sorted(
        names
    )


# Free of I/O.

SLOW = LivenessSettings(
    lease_duration=30.0, grace_period=300.0, retention=3600.0, mass_expiry_share=0.1, mass_expiry_count=2
)
CONTROLLERS = {name: served_controller(name).record for name in NAMES}


def test_controllers_that_never_call_are_kept_in_the_grace_period_and_retained_in_a_mass_expiry():
    leases = LeaseTable(SLOW, CONTROLLERS, 0.0)
    assert leases.check(329.0) == ((), (), False)
    expired, retained, is_retention_new = leases.check(330.0)
    assert expired == () and len(retained) == 8 and is_retention_new
    assert not leases.check(345.0).is_retention_new and not leases.expired


def test_expiry_and_return_of_a_controller_are_reported_once():
    leases = LeaseTable(SLOW, CONTROLLERS, 0.0)
    for name in NAMES[1:]:
        leases.renew(name, 320.0)
    assert leases.check(330.0).expired == ("c0",) and leases.expired == {"c0"}
    assert leases.check(331.0).expired == ()
    assert leases.renew("c0", 400.0) and not leases.renew("c0", 401.0) and not leases.expired
    assert not leases.renew("nobody", 402.0)


def test_controllers_added_by_a_reload_get_a_lease_from_then_on():
    leases = LeaseTable(SLOW, CONTROLLERS, 0.0)
    remaining = {name: controller for name, controller in CONTROLLERS.items() if name != "c0"}
    leases.configure(remaining | {"new": served_controller("new").record}, 200.0)
    for name in remaining:
        leases.renew(name, 200.0)
    assert leases.check(529.0) == ((), (), False)
    for name in remaining:
        leases.renew(name, 529.0)
    assert leases.check(530.0).expired == ("new",)


# The settings in the file.


def test_the_shipped_file_holds_the_default_leases(tmp_path):
    text = SHIPPED.read_text().replace("enabled: false", "enabled: true")
    path = tmp_path / "views.yaml"
    path.write_text(text.replace("only_control_role: false", "only_control_role: true"))
    assert read(path).leases == LivenessSettings()


def test_leases_are_read(tmp_path):
    path = tmp_path / "views.yaml"
    path.write_text(
        "leases: {enabled: true, only_control_role: true, lease: 20s, grace: 2m, hold: 10m, doubt_share: 5%, "
        "doubt_least: 7}"
    )
    assert read(path).leases == LivenessSettings(20.0, 120.0, 600.0, 0.05, 7)
    path.write_text("leases: {lease: 20s}")
    assert read(path).leases is None


@pytest.mark.parametrize(
    "text, message",
    [
        ("leases:\n  enabled: yes please", "2: leases.enabled: 'yes please' is neither true nor false"),
        (
            "leases:\n  grace: 5m\n  enabled: true",
            "3: leases.enabled: control roles do not exchange which controllers called",
        ),
        (
            "leases: {enabled: true, only_control_role: false}",
            "1: leases.enabled: control roles do not exchange",
        ),
        ("leases: {enabled: true}", "set only_control_role: true"),
        ("leases:\n  lease: 30", "2: leases.lease: 30 has no unit"),
        ("leases:\n  lease: 500ms", "2: leases.lease: expected at least 1s, got 500ms"),
        ("leases:\n  grace: 2h", "2: leases.grace: 2h has no unit"),
        ("leases:\n  hold: 61m", "2: leases.hold: 61m is not between 0 and an hour"),
        (
            "leases:\n  doubt_share: 0.1",
            "2: leases.doubt_share: expected a percentage from 1% to 99%, got 0.1",
        ),
        ("leases:\n  doubt_least: 0", "2: leases.doubt_least: 0 is not a whole number"),
        ("leases:\n  least: 30s", "2: leases.least is not known; did you mean lease?"),
        ("leases: yes", "1: leases. is not a map of keys"),
        (
            "bounds:\n  undecided_wait: 4s",
            "2: bounds.undecided_wait: expected at most 3s, as a controller ends its call after 4s, got 4s",
        ),
    ],
)
def test_invalid_values_are_rejected_with_file_line_and_field(tmp_path, text, message):
    path = tmp_path / "views.yaml"
    path.write_text(text)
    with pytest.raises(InvalidConfigurationError) as raised:
        read(path)
    assert f"{path}:" in str(raised.value) and message in str(raised.value)
