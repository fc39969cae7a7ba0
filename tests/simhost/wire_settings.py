"""The settings object of the wire, with the names of the protocol's page."""

from wire_scenario import RequestClass, Scenario


def settings(scenario: Scenario, number: int) -> dict:
    """Returns the settings object of one controller, with all keys of the example on the protocol's page."""
    return {
        "balancers": scenario.controllers,
        "domainType": "control",
        "grades": [_grade(one) for one in scenario.classes],
        "membershipMode": scenario.membership,
        "models": ["full-speed", "slower"],
        "myZone": number % len(scenario.zones),
        "penalties": {"connection": 0.02, "crossZone": scenario.cross_zone, "probe": 0.02, "waste": 0.03},
        "policyLimits": {"mayTell": True, "probes": scenario.probes, "streamsPerConn": 32},
        "quantum": 2.0,
        "report": {"fields": list(scenario.fields), "how": "inline" if scenario.fields else "off"},
        "rules": {
            "cold": scenario.cold,
            "coldShare": scenario.cold_share,
            "fall": 3000.0,
            "stopSendingWithin": scenario.grace_ms,
            "tipMultiple": scenario.tip_multiple,
        },
        "selfIndex": number,
        "specifics": {
            "admit": scenario.admit,
            "baseMode": 1,
            "choice": "p2c",
            "emptyFor": 7200.0,
            "envelope": scenario.envelope,
            "ingestRate": scenario.ingest_rate,
            "messagesMost": scenario.messages_most,
            "mutating": [one.idempotency != "idempotent" for one in scenario.classes],
            "partitionsN": 0,
            "period": float(scenario.period),
            "proxyCount": scenario.told_proxies or scenario.proxies,
            "pushRate": scenario.push_rate,
            "queueCap": scenario.queue_cap,
            "updateWindow": scenario.window_ms,
            "zoneBound": [one.zone_bound for one in scenario.classes],
        },
        "weights": scenario.weights,
        "worthBy": "request",
        "zones": list(scenario.zones),
    }


def _grade(request_class: RequestClass) -> dict:
    grade = {
        "aim": request_class.aim,
        "deadline": 3 * request_class.aim,
        "group": "all",
        "idempotency": request_class.idempotency,
        "lateShare": 0.1,
        "name": request_class.name,
        "repeatWindow": 3000.0,
        "worth": request_class.worth,
    }
    return grade | ({"onlyZones": list(request_class.only_zones)} if request_class.only_zones else {})
