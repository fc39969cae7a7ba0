"""Which controllers have a lease: grace period, mass expiry, retention, restarts."""

from math import inf

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatcart.views.liveness import ControllerLiveness, LivenessSettings
from oatcart.views.records import Controller

SETTINGS = LivenessSettings(
    lease_duration=10.0, grace_period=60.0, retention=600.0, mass_expiry_share=0.1, mass_expiry_count=2
)
OVERDUE_AFTER = SETTINGS.lease_duration + SETTINGS.grace_period
RETENTION_END = OVERDUE_AFTER + SETTINGS.retention
FLEET = [Controller(f"controller-{number:02}", "west", "west-1", ("api",)) for number in range(40)]


def liveness_of(controllers=FLEET, now: float = 0.0) -> ControllerLiveness:
    liveness = ControllerLiveness(SETTINGS, now)
    renew_all(liveness, controllers, now)
    liveness.decide(now)
    return liveness


def renew_all(liveness: ControllerLiveness, controllers, now: float) -> None:
    for controller in controllers:
        liveness.renew(controller, now)


def test_a_controller_has_a_lease_from_its_first_call_and_is_reported_once():
    liveness = ControllerLiveness(SETTINGS, 0.0)
    liveness.renew(FLEET[0], 1.0)
    assert liveness.decide(1.0).added == (FLEET[0],)
    liveness.renew(FLEET[0], 2.0)
    assert liveness.decide(2.0).added == ()


def test_a_controller_with_other_services_is_reported_again():
    liveness = liveness_of()
    changed = FLEET[3]._replace(services=("api", "cart"))
    liveness.renew(changed, 1.0)
    assert liveness.decide(1.0).added == (changed,)


def test_a_restart_within_the_grace_period_changes_nothing():
    liveness = liveness_of()
    renew_all(liveness, FLEET[1:], OVERDUE_AFTER - 1)
    assert liveness.decide(OVERDUE_AFTER - 1)[:3] == ((), (), ())
    liveness.renew(FLEET[0], OVERDUE_AFTER - 0.5)
    assert liveness.decide(OVERDUE_AFTER + 1)[:3] == ((), (), ())


def test_a_controller_that_stops_calling_expires_at_the_end_of_its_grace_period_and_not_before():
    liveness = liveness_of()
    renew_all(liveness, FLEET[1:], OVERDUE_AFTER - 1)
    decision = liveness.decide(OVERDUE_AFTER - 1)
    assert (decision.expired, decision.next_decision_at) == ((), OVERDUE_AFTER)
    assert liveness.decide(OVERDUE_AFTER).expired == (FLEET[0].name,)
    liveness.renew(FLEET[0], OVERDUE_AFTER + 1)
    assert liveness.decide(OVERDUE_AFTER + 1).added == (FLEET[0],)


def test_half_of_all_leases_lapsed_at_once_are_retained_and_renewed_without_changes():
    liveness = liveness_of()
    lapsed, calling = FLEET[:20], FLEET[20:]
    for now in (30.0, OVERDUE_AFTER, OVERDUE_AFTER + 300.0):
        renew_all(liveness, calling, now)
        decision = liveness.decide(now)
        assert (decision.added, decision.expired) == ((), ())
    assert decision.retained == tuple(controller.name for controller in lapsed)
    renew_all(liveness, lapsed, OVERDUE_AFTER + 301.0)
    assert liveness.decide(OVERDUE_AFTER + 301.0)[:3] == ((), (), ())


def test_many_leases_that_lapse_one_after_the_other_are_retained_too():
    liveness = liveness_of()
    renew_all(liveness, FLEET[20:], 30.0)
    for number, controller in enumerate(FLEET[:20]):
        liveness.renew(controller, 0.4 * number)
    for tenths in range(800):
        now = 0.1 * tenths
        renew_all(liveness, FLEET[20:], now)
        assert liveness.decide(now).expired == ()


def test_the_retention_ends():
    liveness = liveness_of()
    renew_all(liveness, FLEET[20:], RETENTION_END - 1)
    assert liveness.decide(RETENTION_END - 1).expired == ()
    assert liveness.decide(RETENTION_END).expired == tuple(controller.name for controller in FLEET[:20])


def test_a_mass_expiry_ends_when_most_controllers_call_and_the_few_others_expire():
    liveness = liveness_of()
    renew_all(liveness, FLEET[20:], OVERDUE_AFTER + 5)
    assert len(liveness.decide(OVERDUE_AFTER + 5).retained) == 20
    renew_all(liveness, FLEET[1:20], OVERDUE_AFTER + 6)
    assert liveness.decide(OVERDUE_AFTER + 6).expired == (FLEET[0].name,)


def test_a_control_role_without_any_calls_retains_all_leases():
    liveness = liveness_of()
    decision = liveness.decide(OVERDUE_AFTER + 1)
    assert (decision.expired, len(decision.retained)) == ((), len(FLEET))


def test_a_restarted_control_role_begins_with_the_known_controllers():
    liveness = ControllerLiveness(SETTINGS, 100.0, FLEET)
    assert set(liveness.decide(100.0).added) == set(FLEET)
    renew_all(liveness, FLEET[1:], 100.0 + OVERDUE_AFTER - 1)
    assert liveness.decide(100.0 + OVERDUE_AFTER).expired == (FLEET[0].name,)


def test_an_older_call_reported_late_neither_shortens_a_lease_nor_restores_an_older_record():
    liveness = liveness_of()
    newer = FLEET[0]._replace(services=())
    liveness.renew(newer, 50.0)
    liveness.decide(50.0)
    liveness.renew(FLEET[0], 20.0)
    renew_all(liveness, FLEET[1:], 100.0)
    assert liveness.decide(100.0)[:3] == ((), (), ())


def test_a_removed_controller_expires_at_once_even_in_a_mass_expiry():
    liveness = liveness_of()
    liveness.remove(FLEET[5].name)
    liveness.remove("nobody")
    decision = liveness.decide(OVERDUE_AFTER + 1)
    assert (decision.expired, len(decision.retained)) == ((FLEET[5].name,), len(FLEET) - 1)


def test_no_decision_is_due_without_controllers():
    assert ControllerLiveness(SETTINGS, 0.0).decide(0.0) == ((), (), (), inf)


class Calls(RuleBasedStateMachine):
    """Controllers call, stop calling and are removed; the reported changes add up to the controllers that are
    not overdue, or retained."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.liveness = ControllerLiveness(SETTINGS, 0.0)
        self.called_at: dict[str, float] = {}
        self.reported: dict[str, Controller] = {}

    @rule(controllers=st.sets(st.sampled_from(FLEET)))
    def call(self, controllers):
        for controller in controllers:
            self.liveness.renew(controller, self.now)
            self.called_at[controller.name] = self.now

    @rule(seconds=st.sampled_from((1.0, 10.0, 30.0, 70.0, 300.0)))
    def wait(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.called_at)
    @rule(data=st.data())
    def remove(self, data):
        name = data.draw(st.sampled_from(sorted(self.called_at)))
        del self.called_at[name]
        self.liveness.remove(name)

    @invariant()
    def decisions_match_the_rules(self):
        decision = self.liveness.decide(self.now)
        for name in decision.expired:
            self.reported.pop(name, None)
        for controller in decision.added:
            self.reported[controller.name] = controller
        for name in self.called_at.keys() - self.reported.keys():
            assert self.now - self.called_at.pop(name) >= OVERDUE_AFTER
        assert self.reported.keys() == self.called_at.keys()
        time_since_call = {name: self.now - called_at for name, called_at in self.called_at.items()}
        assert set(decision.retained) == {
            name for name, seconds in time_since_call.items() if seconds >= OVERDUE_AFTER
        }
        assert all(time_since_call[name] < RETENTION_END for name in decision.retained)
        assert decision.next_decision_at > self.now


TestCalls = Calls.TestCase
TestCalls.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
