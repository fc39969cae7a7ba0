"""The plan of a run: its actions and their times, all drawn from the seed."""

from dataclasses import dataclass
from enum import Enum, auto
from random import Random

DURATION_S = 9.0
QUIET_START_S = 1.5  # before the first action, while all clients join
QUIET_END_S = 1.0  # after the last action
ENDPOINTS = 8
CONTROLLERS = 2  # the second serves xDS clients too
PROXIES = 6
XDS_CLIENTS = 9
# Push budgets, pushes/s: 2000 never limits; 12 does, but still serves XDS_CLIENTS within the deadline.
XDS_PUSHES = (2000, 12)
MIN_READY_PER_ZONE = 2
KILL_AFTER_S = 0.7  # from SIGTERM to SIGKILL, the shortest time that the protocol allows


class ActionType(Enum):
    """What an action does; see TARGETS for its possible targets."""

    DRAIN = auto()
    REMOVE = auto()
    RETURN = auto()
    RESTART_ENDPOINT = auto()
    FAIL_HEALTH = auto()
    RECOVER_HEALTH = auto()
    SIGHUP_SERIES = auto()  # `value`: how many
    SIGHUP_AND_TERMINATE = auto()
    TERMINATE = auto()  # SIGTERM twice
    KILL = auto()
    DISCOVERY_LATE = auto()
    DISCOVERY_PIECES = auto()
    DISCOVERY_MALFORMED = auto()
    DISCOVERY_CUT = auto()
    DISCOVERY_RECOVERS = auto()
    CUT_STREAM = auto()
    SEND_MALFORMED_MESSAGE = auto()
    STOP_READING = auto()
    RESUME_READING = auto()
    XDS_RECONNECT = auto()
    XDS_WITHHOLD_ACKS = auto()
    XDS_SEND_ACKS = auto()
    XDS_RECONNECT_ALL = auto()  # all clients are disconnected, an endpoint drains, all clients reconnect
    CONNECTION_FLOOD = auto()


# The number of possible targets of an action; actions that are left out have a controller as target.
TARGETS = {
    ActionType.DRAIN: ENDPOINTS,
    ActionType.REMOVE: ENDPOINTS,
    ActionType.RETURN: ENDPOINTS,
    ActionType.RESTART_ENDPOINT: ENDPOINTS,
    ActionType.FAIL_HEALTH: ENDPOINTS,
    ActionType.RECOVER_HEALTH: ENDPOINTS,
    ActionType.CUT_STREAM: PROXIES,
    ActionType.SEND_MALFORMED_MESSAGE: PROXIES,
    ActionType.STOP_READING: PROXIES,
    ActionType.RESUME_READING: PROXIES,
    ActionType.XDS_RECONNECT: XDS_CLIENTS,
    ActionType.XDS_WITHHOLD_ACKS: XDS_CLIENTS,
    ActionType.XDS_SEND_ACKS: XDS_CLIENTS,
    ActionType.XDS_RECONNECT_ALL: ENDPOINTS,
}
# How often actions are drawn, relative to each other.
WEIGHTS = {
    ActionType.DRAIN: 6,
    ActionType.REMOVE: 3,
    ActionType.RETURN: 6,
    ActionType.RESTART_ENDPOINT: 2,
    ActionType.FAIL_HEALTH: 2,
    ActionType.RECOVER_HEALTH: 2,
    ActionType.SIGHUP_SERIES: 3,
    ActionType.SIGHUP_AND_TERMINATE: 1,
    ActionType.TERMINATE: 2,
    ActionType.KILL: 1,
    ActionType.DISCOVERY_LATE: 1,
    ActionType.DISCOVERY_PIECES: 1,
    ActionType.DISCOVERY_MALFORMED: 1,
    ActionType.DISCOVERY_CUT: 1,
    ActionType.DISCOVERY_RECOVERS: 4,
    ActionType.CUT_STREAM: 2,
    ActionType.SEND_MALFORMED_MESSAGE: 1,
    ActionType.STOP_READING: 1,
    ActionType.RESUME_READING: 2,
    ActionType.XDS_RECONNECT: 2,
    ActionType.XDS_WITHHOLD_ACKS: 1,
    ActionType.XDS_SEND_ACKS: 2,
    ActionType.XDS_RECONNECT_ALL: 2,
}


@dataclass(frozen=True, slots=True)
class Action:
    """One action of a run.

    `at`: seconds from the start of the run. `target`: number of an endpoint, controller, proxy or xDS client.
    """

    at: float
    action_type: ActionType
    target: int
    value: int


@dataclass(frozen=True, slots=True)
class Plan:
    """The actions of a run, by time."""

    seed: int
    xds_pushes: int  # budget, pushes/s
    actions: tuple[Action, ...]


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed. One seed in three has a connection flood."""
    random = Random(seed)
    action_types, weights = list(WEIGHTS), list(WEIGHTS.values())
    actions = []
    at = QUIET_START_S
    while at < DURATION_S - QUIET_END_S:
        action_type = random.choices(action_types, weights)[0]
        target = random.randrange(TARGETS.get(action_type, CONTROLLERS))
        actions.append(Action(at, action_type, target, random.randint(2, 6)))
        at += random.choice([0.0, 0.002, 0.1, 0.3, 0.6])
    if seed % 3 == 0:
        actions.append(
            Action(random.uniform(2.0, 5.0), ActionType.CONNECTION_FLOOD, random.randrange(CONTROLLERS), 0)
        )
    return Plan(
        seed, XDS_PUSHES[seed % len(XDS_PUSHES)], tuple(sorted(actions, key=lambda action: action.at))
    )
