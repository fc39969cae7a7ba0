"""Leases of controllers at the control role: who leaves, who stays, who comes back; and calls that are held
open until a view is decided."""

import re
from pathlib import Path

import orjson
import pytest
from views_stage import BOUNDS, Stage, controller, endpoint_entry, ids

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
TURNS_MOST = 30  # of the loop, until all views are told
PATIENT = LivenessSettings(
    lease_duration=0.1, grace_period=30.0, retention=60.0, mass_expiry_share=0.2, mass_expiry_count=1
)


def fleet():
    return [endpoint_entry(f"s-{number:02}", "ab"[number % 2], service="x") for number in range(40)]


def staged(leases, names=NAMES, bounds=BOUNDS):
    return Stage([controller(name, ["x"]) for name in names], bounds, limits=LIMITS, leases=leases)


@pytest.fixture
def stages():
    """Starts stages whose first views are decided, and closes them."""
    opened = []

    def start(leases, names=NAMES):
        stage = staged(leases, names)
        opened.append(stage)
        stage.discovery.put(*fleet())
        stage.ready()
        return stage

    yield start
    for stage in opened:
        stage.close()


class Caller:
    """A controller: the complete list, then watch after watch, at its own address or by its name."""

    def __init__(self, stage, name, by_name=False):
        self.stage, self.told = stage, None
        address = stage.role.main_listener.address if by_name else stage.role.address_of(name)
        self.path = f"/v1/views/{name}/servers" if by_name else "/v1/servers"
        self.client = HttpClient(stage.loop, address)
        self.task = stage.loop.spawn(self._run())
        stage.until(lambda: self.told is not None, f"the list of {name}")

    def _run(self):
        query = ""
        while True:
            body = yield from self.client.get(self.path + query, self.stage.loop.now + 8.0)
            answer = orjson.loads(body)
            self.told = answer if answer["complete"] else self.told
            query = f"?since={answer['revision']}&timeout_ms=5000"

    def stop(self):
        self.stage.loop.cancel(self.task)
        self.client.close()


def views(stage):
    return dict(stage.role.publisher.views)


def pairs(found):
    return {(name, held) for name, view in found.items() for held in view}


def decided_for(stage, names):
    """The views of these controllers as a fresh start decides them."""
    publisher = stage.role.publisher
    nodes = publisher.configuration.endpoint_fields
    return ViewDecider().decide(
        [
            RecordChanges(
                endpoints=[endpoint_record(entry, nodes) for entry in publisher.entries.values()],
                controllers=[publisher.controllers[name] for name in names],
                limits=publisher.configuration.limits,
            )
        ]
    )


def call_complete(stage, name):
    return stage.call(stage.role.address_of(name), "/v1/servers")


def lease_status(stage):
    return stage.call(stage.role.main_listener.address, "/v1/views").result(stage)["leases"]


def undecided_status(stage):
    return stage.call(stage.role.main_listener.address, "/v1/views").result(stage)["undecided_calls"]


def raw_answer(stage, name):
    request = b"GET /v1/servers HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    return stage.asked(stage.role.address_of(name), request)


def gone(stage, name):
    """Wait until a silent controller has left and what that changes is decided."""
    rest = [one for one in NAMES if one != name]
    stage.until(lambda: views(stage) == decided_for(stage, rest), f"{name} gone")


# Over loopback.


def test_an_expired_lease_moves_only_its_share(stages):
    stage = stages(QUICK)
    callers = [Caller(stage, name) for name in NAMES]
    before = views(stage)
    callers[3].stop()
    gone(stage, "c3")
    after = views(stage)
    moved = max(len(pairs(before) - pairs(after)), len(pairs(after) - pairs(before)))
    assert moved <= 2 * len(before["c3"])  # 17 holders and fewer of an endpoint: its share again, at the most
    assert lease_status(stage) == {"silent": ["c3"], "doubted": 0}
    assert stage.logged("leases: 1 controllers (c3) expired")


def test_a_watch_that_stands_renews_the_lease(stages):
    stage = stages(QUICK)
    callers = [Caller(stage, name, by_name=number % 2 == 0) for number, name in enumerate(NAMES)]
    revisions = [caller.told["revision"] for caller in callers]
    stage.for_(2 * OVERDUE)
    assert lease_status(stage) == {"silent": [], "doubted": 0}
    assert [caller.told["revision"] for caller in callers] == revisions


def overdue_after(stage, calls):
    """Who is overdue so long after these calls that leases which began before are over with their grace."""
    stage.for_(0.2)
    began = stage.loop.clock()
    calls()
    return set(stage.role.leases.check(began + PATIENT.lease_duration + PATIENT.grace_period - 0.05).retained)


def test_a_call_that_is_no_watch_renews_the_lease(stages):
    stage = stages(PATIENT)

    def calls():
        call_complete(stage, "c0").result(stage)
        stage.call(stage.role.main_listener.address, "/v1/views/c1/servers").result(stage)

    assert overdue_after(stage, calls) == set(NAMES[2:])


def test_a_call_that_is_answered_with_503_renews_the_lease():
    stage = staged(PATIENT)
    try:
        put_off = []
        assert overdue_after(stage, lambda: put_off.append(raw_answer(stage, "c0"))) == set(NAMES[1:])
        assert put_off[0].startswith(b"HTTP/1.1 503")
    finally:
        stage.close()


def test_a_restart_within_the_grace_moves_nothing(stages):
    stage = stages(PATIENT)
    callers = [Caller(stage, name) for name in NAMES]
    before, revision = views(stage), callers[3].told["revision"]
    callers[3].stop()
    stage.for_(3 * PATIENT.lease_duration)
    back = Caller(stage, "c3")
    stage.for_(2 * PATIENT.lease_duration)
    assert views(stage) == before and back.told["revision"] == revision
    assert not stage.logged("leases:")


def test_half_of_all_silent_at_once_moves_nothing(stages):
    stage = stages(QUICK)
    callers = [Caller(stage, name) for name in NAMES]
    before = views(stage)
    for caller in callers[:4]:
        caller.stop()
    stage.until(lambda: stage.logged("overdue, a mass expiry: their leases are retained"), "the doubt")
    (overdue,) = re.findall(r"leases: \d controllers \(([^)]*)\) overdue", stage.out.getvalue())
    assert set(overdue.split(", ")) <= set(NAMES[:4])  # the others of the four may be overdue a little later
    stage.until(lambda: lease_status(stage)["doubted"] == 4, "all four doubted")
    stage.for_(1.5 * OVERDUE)
    assert views(stage) == before
    assert lease_status(stage) == {"silent": [], "doubted": 4}
    assert stage.out.getvalue().count("a mass expiry: their leases are retained") == 1


def test_a_role_just_started_without_any_call_expires_nobody(stages):
    stage = stages(PATIENT)
    before = views(stage)
    stage.for_(4 * PATIENT.lease_duration)
    assert len(before) == len(NAMES) and views(stage) == before
    assert ids(stage.get("c5")) == sorted(before["c5"])


def test_a_controller_that_never_calls_expires_after_the_grace_period(stages):
    stage = stages(QUICK)
    for name in NAMES:
        if name != "c3":
            Caller(stage, name)
    gone(stage, "c3")


def test_who_returns_gets_its_view_in_the_same_call_and_all_is_as_before(stages):
    stage = stages(QUICK)
    callers = [Caller(stage, name) for name in NAMES]
    before = views(stage)
    callers[3].stop()
    gone(stage, "c3")
    back = Caller(stage, "c3")
    assert ids(back.told) == sorted(before["c3"])
    stage.until(lambda: views(stage) == before, "the views as before")
    assert lease_status(stage)["silent"] == [] and stage.logged(
        "leases: c3 called after its lease had expired"
    )
    assert undecided_status(stage) == {"held": 0, "answered": 1, "refused": 0}


def test_who_returns_while_a_decision_lasts_is_answered_with_503_and_never_served_an_empty_list(stages):
    stage = stages(QUICK)
    callers = [Caller(stage, name) for name in NAMES]
    callers[3].stop()
    gone(stage, "c3")
    held_back = []
    decide, stage.role.publisher.decide = stage.role.publisher.decide, held_back.append
    answer = raw_answer(stage, "c3")
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: 1" in answer
    for update in held_back:
        decide(update)
    told = ids(stage.get("c3"))
    assert told and told == sorted(views(stage)["c3"])


def test_what_was_decided_before_a_controller_left_is_not_published_afterwards(stages):
    """Failure: a decision under way while a controller leaves brings its view back for good."""
    stage = stages(PATIENT)
    view = views(stage)["c3"]
    stage.role.publisher.expire(["c3"])
    stage.role.publisher.apply_views({"c3": view})
    assert "c3" not in views(stage)


def test_off_by_default_all_controllers_count_whether_they_call_or_not(stages):
    assert Configuration().leases is None
    stage = stages(None)
    before = views(stage)
    stage.for_(2 * OVERDUE)
    assert views(stage) == before and len(before) == len(NAMES)
    assert lease_status(stage) is None and not stage.logged("leases:")


def test_a_reload_keeps_leases_and_expired_ones(stages):
    stage = stages(QUICK)
    callers = [Caller(stage, name) for name in NAMES]
    callers[3].stop()
    gone(stage, "c3")
    callers[7].stop()
    listed = [one for one in stage.configuration.controllers if one.record.name != "c7"]
    listed.append(controller("new", ["x"]))
    new = stage.configuration._replace(controllers=tuple(listed), leases=PATIENT, limits=ViewLimits(9))
    assert "only a restart changes leases" in stage.role.reconfigure(new)
    alive = {*NAMES, "new"} - {"c3", "c7"}
    new_caller = Caller(stage, "new")
    stage.until(lambda: views(stage) == decided_for(stage, alive), "the new views")
    assert lease_status(stage)["silent"] == ["c3"]
    new_caller.stop()
    stage.until(lambda: lease_status(stage)["silent"] == ["c3", "new"], "the new one gone")


# Calls that are held open until a view is decided.


def test_a_call_before_the_first_list_is_held_open_and_answered_with_the_view():
    stage = staged(None, bounds=BOUNDS._replace(undecided_timeout=3.0))
    try:
        early = [call_complete(stage, name) for name in NAMES]
        stage.for_(0.1)
        assert undecided_status(stage) == {"held": 8, "answered": 0, "refused": 0}
        began = stage.loop.clock()
        stage.discovery.put(*fleet())
        answers = [call.result(stage) for call in early]
        assert max(call.at for call in early) - began < 2.0  # well before their time is over
        found = views(stage)
        assert [ids(answer) for answer in answers] == [sorted(found[name]) for name in NAMES]
        assert all(found.values())
        assert undecided_status(stage) == {"held": 0, "answered": 8, "refused": 0}
    finally:
        stage.close()


def test_a_held_call_ends_with_503_when_its_time_is_over():
    stage = staged(None)
    try:
        began = stage.loop.clock()
        refused = call_complete(stage, "c0")
        stage.until(lambda: refused.over, "an answer")
        assert "status 503" in str(refused.ended)
        assert BOUNDS.undecided_timeout <= refused.at - began < BOUNDS.undecided_timeout + 1.0
        assert undecided_status(stage) == {"held": 0, "answered": 0, "refused": 1}
    finally:
        stage.close()


def test_held_calls_of_one_controller_are_bounded_and_end_with_their_connections():
    stage = staged(None, bounds=BOUNDS._replace(undecided_timeout=3.0, max_connections_per_view=2))
    try:
        calls = [call_complete(stage, "c0") for _ in range(5)]
        stage.until(lambda: sum(call.over for call in calls) == 3, "the oldest made way")
        assert undecided_status(stage)["held"] == 2
        for call in calls:
            call.client.close()
        stage.until(lambda: undecided_status(stage)["held"] == 0, "the calls are gone")
    finally:
        stage.close()


def test_a_held_call_for_a_controller_that_leaves_the_file_is_rejected_at_once():
    stage = staged(None, bounds=BOUNDS._replace(undecided_timeout=3.0))
    try:
        call = stage.call(stage.role.main_listener.address, "/v1/views/c7/servers")
        stage.for_(0.1)
        began = stage.loop.clock()
        stage.role.reconfigure(stage.configuration._replace(controllers=stage.configuration.controllers[:7]))
        stage.until(lambda: call.over, "an answer")
        assert "status 404" in str(call.ended) and call.at - began < 1.5
    finally:
        stage.close()


def most_of_one_turn(stage, told, wanted):
    """How many views are told in one turn of the loop, at the most, until so many are."""
    most = before = len(told)  # a task runs up to its first wait as it is started
    for _ in range(TURNS_MOST):
        stage.loop.turn(0.01)
        most, before = max(most, len(told) - before), len(told)
    assert before == wanted
    return most


def test_held_calls_are_answered_over_several_turns_of_the_loop(stages):
    """Failure: what waits until `loop.now` runs in the same turn, so all views are told in one long turn."""
    stage, told = stages(None), []
    names = [f"view-{number}" for number in range(3 * VIEWS_PER_TURN)]
    stage.role.server.wake_undecided = told.extend
    stage.loop.spawn(stage.role._answer_undecided(names))
    assert most_of_one_turn(stage, told, len(names)) == VIEWS_PER_TURN and told == names


def test_views_are_published_over_several_turns_of_the_loop(stages):
    """Failure: as above."""
    stage, told = stages(None), []
    stage.until(lambda: not stage.role.is_publishing, "all published")
    publisher, names = stage.role.publisher, [f"view-{number}" for number in range(3 * VIEWS_PER_TURN)]

    def publish(part):
        told.extend(part)
        publisher.unpublished.difference_update(part)
        return []

    publisher.publish = publish
    publisher.unpublished.update(names)
    stage.role._schedule_publication()
    assert most_of_one_turn(stage, told, len(names)) == VIEWS_PER_TURN and sorted(told) == sorted(names)


# Free of I/O.

SLOW = LivenessSettings(
    lease_duration=30.0, grace_period=300.0, retention=3600.0, mass_expiry_share=0.1, mass_expiry_count=2
)
CONTROLLERS = {name: controller(name).record for name in NAMES}


def test_all_that_never_call_stay_through_the_grace_and_while_they_are_many():
    leases = LeaseTable(SLOW, CONTROLLERS, 0.0)
    assert leases.check(329.0) == ((), (), False)
    expired, retained, is_retention_new = leases.check(330.0)
    assert expired == () and len(retained) == 8 and is_retention_new
    assert not leases.check(345.0).is_retention_new and not leases.expired


def test_a_controller_expires_once_and_returns_once():
    leases = LeaseTable(SLOW, CONTROLLERS, 0.0)
    for name in NAMES[1:]:
        leases.renew(name, 320.0)
    assert leases.check(330.0).expired == ("c0",) and leases.expired == {"c0"}
    assert leases.check(331.0).expired == ()
    assert leases.renew("c0", 400.0) and not leases.renew("c0", 401.0) and not leases.expired
    assert not leases.renew("nobody", 402.0)


def test_other_controllers_in_the_file():
    leases = LeaseTable(SLOW, CONTROLLERS, 0.0)
    kept = {name: controller for name, controller in CONTROLLERS.items() if name != "c0"}
    leases.configure(kept | {"new": controller("new").record}, 200.0)
    for name in kept:
        leases.renew(name, 200.0)
    assert leases.check(529.0) == ((), (), False)
    for name in kept:
        leases.renew(name, 529.0)
    assert leases.check(530.0).expired == ("new",)


# The file.


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
    "text, said",
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
        ("leases: yes", "1: leases. is no table of keys"),
        (
            "bounds:\n  undecided_wait: 4s",
            "2: bounds.undecided_wait: expected at most 3s, as a controller ends its call after 4s, got 4s",
        ),
    ],
)
def test_bad_values_are_rejected_with_file_line_and_field(tmp_path, text, said):
    path = tmp_path / "views.yaml"
    path.write_text(text)
    with pytest.raises(InvalidConfigurationError) as wrong:
        read(path)
    assert f"{path}:" in str(wrong.value) and said in str(wrong.value)
