"""What happens in a run and when: all of it is drawn from the seed."""

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

DURATION_S = 9.0
QUIET_START_S = 1.5  # everybody joins
QUIET_END_S = 1.0  # from the last action to the end
ENDPOINTS = 8
CONTROLLERS = 2  # the second serves xDS clients too
SIDECARS = 6
XDS_CLIENTS = 9
XDS_PUSHES = (2000, 12)  # a second; the second one binds, and serves so many clients within the deadline
MIN_READY_PER_ZONE = 2
KILL_AFTER_S = 0.7  # from SIGTERM to SIGKILL, the least that the protocol has


class Act(Enum):
    """What an action does; `target` is the number of an endpoint, controller, sidecar or xDS client."""

    DRAIN = auto()
    REMOVE = auto()
    RETURN = auto()
    RESTART_ENDPOINT = auto()
    FAIL_HEALTH = auto()
    HEAL = auto()
    HANGUPS = auto()  # a series of SIGHUP; `value`: how many
    HANGUP_AND_TERMINATE = auto()
    TERMINATE = auto()  # twice
    KILL = auto()
    DISCOVERY_LATE = auto()
    DISCOVERY_PIECES = auto()
    DISCOVERY_GARBLED = auto()
    DISCOVERY_CUT = auto()
    DISCOVERY_HEALS = auto()
    CUT_STREAM = auto()
    GARBLE_STREAM = auto()
    STOP_READING = auto()
    READ_AGAIN = auto()
    XDS_RECONNECT = auto()
    XDS_ANSWERS_LATE = auto()
    XDS_ANSWERS = auto()
    XDS_HERD = auto()  # all clients are cut, an endpoint drains, all return
    CROWD = auto()


TARGETS = {
    Act.DRAIN: ENDPOINTS,
    Act.REMOVE: ENDPOINTS,
    Act.RETURN: ENDPOINTS,
    Act.RESTART_ENDPOINT: ENDPOINTS,
    Act.FAIL_HEALTH: ENDPOINTS,
    Act.HEAL: ENDPOINTS,
    Act.CUT_STREAM: SIDECARS,
    Act.GARBLE_STREAM: SIDECARS,
    Act.STOP_READING: SIDECARS,
    Act.READ_AGAIN: SIDECARS,
    Act.XDS_RECONNECT: XDS_CLIENTS,
    Act.XDS_ANSWERS_LATE: XDS_CLIENTS,
    Act.XDS_ANSWERS: XDS_CLIENTS,
    Act.XDS_HERD: ENDPOINTS,
}
WEIGHTS = {
    Act.DRAIN: 6,
    Act.REMOVE: 3,
    Act.RETURN: 6,
    Act.RESTART_ENDPOINT: 2,
    Act.FAIL_HEALTH: 2,
    Act.HEAL: 2,
    Act.HANGUPS: 3,
    Act.HANGUP_AND_TERMINATE: 1,
    Act.TERMINATE: 2,
    Act.KILL: 1,
    Act.DISCOVERY_LATE: 1,
    Act.DISCOVERY_PIECES: 1,
    Act.DISCOVERY_GARBLED: 1,
    Act.DISCOVERY_CUT: 1,
    Act.DISCOVERY_HEALS: 4,
    Act.CUT_STREAM: 2,
    Act.GARBLE_STREAM: 1,
    Act.STOP_READING: 1,
    Act.READ_AGAIN: 2,
    Act.XDS_RECONNECT: 2,
    Act.XDS_ANSWERS_LATE: 1,
    Act.XDS_ANSWERS: 2,
    Act.XDS_HERD: 2,
}


@dataclass(frozen=True, slots=True)
class Action:
    """`at`: seconds from the start of the run."""

    at: float
    act: Act
    target: int
    value: int


@dataclass(frozen=True, slots=True)
class Plan:
    """A run."""

    seed: int
    xds_pushes: int  # a second
    actions: tuple[Action, ...]


def draw(seed: int) -> Plan:
    """The run of a seed. One in three has a crowd."""
    random = Random(seed)
    acts, weights = list(WEIGHTS), list(WEIGHTS.values())
    actions = []
    at = QUIET_START_S
    while at < DURATION_S - QUIET_END_S:
        act = random.choices(acts, weights)[0]
        target = random.randrange(TARGETS.get(act, CONTROLLERS))
        actions.append(Action(at, act, target, random.randint(2, 6)))
        at += random.choice([0.0, 0.002, 0.1, 0.3, 0.6])
    if seed % 3 == 0:
        actions.append(Action(random.uniform(2.0, 5.0), Act.CROWD, random.randrange(CONTROLLERS), 0))
    return Plan(
        seed, XDS_PUSHES[seed % len(XDS_PUSHES)], tuple(sorted(actions, key=lambda action: action.at))
    )
