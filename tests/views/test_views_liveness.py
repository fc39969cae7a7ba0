"""Which conductors count as alive: leases, the grace of a restart, doubt when many fall silent."""

from math import inf

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from oatcart.views.liveness import ControllerLiveness, LivenessSettings
from oatcart.views.records import Controller

SETTINGS = LivenessSettings(
    lease_duration=10.0, grace_period=60.0, retention=600.0, mass_expiry_share=0.1, mass_expiry_count=2
)
OVERDUE = SETTINGS.lease_duration + SETTINGS.grace_period
HOLD_OVER = OVERDUE + SETTINGS.retention
FLEET = [Controller(f"conductor-{number:02}", "west", "west-1", ("api",)) for number in range(40)]


def alive_with(controllers=FLEET, now: float = 0.0) -> ControllerLiveness:
    alive = ControllerLiveness(SETTINGS, now)
    renew_all(alive, controllers, now)
    alive.decide(now)
    return alive


def renew_all(alive: ControllerLiveness, controllers, now: float) -> None:
    for controller in controllers:
        alive.renew(controller, now)


def test_a_conductor_counts_from_its_first_call_and_is_told_once():
    alive = ControllerLiveness(SETTINGS, 0.0)
    alive.renew(FLEET[0], 1.0)
    assert alive.decide(1.0).added == (FLEET[0],)
    alive.renew(FLEET[0], 2.0)
    assert alive.decide(2.0).added == ()


def test_a_conductor_with_other_services_is_told_again():
    alive = alive_with()
    moved = FLEET[3]._replace(services=("api", "cart"))
    alive.renew(moved, 1.0)
    assert alive.decide(1.0).added == (moved,)


def test_a_restart_within_the_grace_moves_nothing():
    alive = alive_with()
    renew_all(alive, FLEET[1:], OVERDUE - 1)
    assert alive.decide(OVERDUE - 1)[:3] == ((), (), ())
    alive.renew(FLEET[0], OVERDUE - 0.5)
    assert alive.decide(OVERDUE + 1)[:3] == ((), (), ())


def test_a_silent_conductor_is_dropped_when_its_grace_is_over_and_not_before():
    alive = alive_with()
    renew_all(alive, FLEET[1:], OVERDUE - 1)
    decision = alive.decide(OVERDUE - 1)
    assert (decision.expired, decision.next_decision_at) == ((), OVERDUE)
    assert alive.decide(OVERDUE).expired == (FLEET[0].name,)
    alive.renew(FLEET[0], OVERDUE + 1)
    assert alive.decide(OVERDUE + 1).added == (FLEET[0],)


def test_half_of_the_fleet_silent_at_once_is_held_and_comes_back_unmoved():
    alive = alive_with()
    silent, calling = FLEET[:20], FLEET[20:]
    for now in (30.0, OVERDUE, OVERDUE + 300.0):
        renew_all(alive, calling, now)
        decision = alive.decide(now)
        assert (decision.added, decision.expired) == ((), ())
    assert decision.retained == tuple(controller.name for controller in silent)
    renew_all(alive, silent, OVERDUE + 301.0)
    assert alive.decide(OVERDUE + 301.0)[:3] == ((), (), ())


def test_many_that_fall_silent_one_after_the_other_are_doubted_too():
    alive = alive_with()
    renew_all(alive, FLEET[20:], 30.0)
    for number, controller in enumerate(FLEET[:20]):
        alive.renew(controller, 0.4 * number)
    for tenths in range(800):
        now = 0.1 * tenths
        renew_all(alive, FLEET[20:], now)
        assert alive.decide(now).expired == ()


def test_the_hold_ends():
    alive = alive_with()
    renew_all(alive, FLEET[20:], HOLD_OVER - 1)
    assert alive.decide(HOLD_OVER - 1).expired == ()
    assert alive.decide(HOLD_OVER).expired == tuple(controller.name for controller in FLEET[:20])


def test_doubt_ends_when_most_call_again_and_the_few_others_are_dropped():
    alive = alive_with()
    renew_all(alive, FLEET[20:], OVERDUE + 5)
    assert len(alive.decide(OVERDUE + 5).retained) == 20
    renew_all(alive, FLEET[1:20], OVERDUE + 6)
    assert alive.decide(OVERDUE + 6).expired == (FLEET[0].name,)


def test_a_control_machine_that_hears_nobody_holds_the_whole_fleet():
    alive = alive_with()
    decision = alive.decide(OVERDUE + 1)
    assert (decision.expired, len(decision.retained)) == ((), len(FLEET))


def test_a_restarted_control_machine_begins_with_the_conductors_it_is_told_of():
    alive = ControllerLiveness(SETTINGS, 100.0, FLEET)
    assert set(alive.decide(100.0).added) == set(FLEET)
    renew_all(alive, FLEET[1:], 100.0 + OVERDUE - 1)
    assert alive.decide(100.0 + OVERDUE).expired == (FLEET[0].name,)


def test_an_older_call_told_late_neither_shortens_a_lease_nor_brings_an_older_record_back():
    alive = alive_with()
    newer = FLEET[0]._replace(services=())
    alive.renew(newer, 50.0)
    alive.decide(50.0)
    alive.renew(FLEET[0], 20.0)
    renew_all(alive, FLEET[1:], 100.0)
    assert alive.decide(100.0)[:3] == ((), (), ())


def test_a_conductor_known_to_be_gone_is_dropped_at_once_though_silence_is_doubted():
    alive = alive_with()
    alive.forget(FLEET[5].name)
    alive.forget("nobody")
    decision = alive.decide(OVERDUE + 1)
    assert (decision.expired, len(decision.retained)) == ((FLEET[5].name,), len(FLEET) - 1)


def test_nothing_is_due_where_there_is_nobody():
    assert ControllerLiveness(SETTINGS, 0.0).decide(0.0) == ((), (), (), inf)


class Calls(RuleBasedStateMachine):
    """Conductors call and fall silent; what is told adds up to who is within the grace or doubted."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.alive = ControllerLiveness(SETTINGS, 0.0)
        self.called_at: dict[str, float] = {}
        self.told: dict[str, Controller] = {}

    @rule(controllers=st.sets(st.sampled_from(FLEET)))
    def call(self, controllers):
        for controller in controllers:
            self.alive.renew(controller, self.now)
            self.called_at[controller.name] = self.now

    @rule(seconds=st.sampled_from((1.0, 10.0, 30.0, 70.0, 300.0)))
    def wait(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.called_at)
    @rule(data=st.data())
    def forget(self, data):
        name = data.draw(st.sampled_from(sorted(self.called_at)))
        del self.called_at[name]
        self.alive.forget(name)

    @invariant()
    def decided_as_stated(self):
        decision = self.alive.decide(self.now)
        for name in decision.expired:
            self.told.pop(name, None)
        for controller in decision.added:
            self.told[controller.name] = controller
        for name in self.called_at.keys() - self.told.keys():
            assert self.now - self.called_at.pop(name) >= OVERDUE
        assert self.told.keys() == self.called_at.keys()
        silence = {name: self.now - called_at for name, called_at in self.called_at.items()}
        assert set(decision.retained) == {name for name, seconds in silence.items() if seconds >= OVERDUE}
        assert all(silence[name] < HOLD_OVER for name in decision.retained)
        assert decision.next_decision_at > self.now


TestCalls = Calls.TestCase
TestCalls.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
