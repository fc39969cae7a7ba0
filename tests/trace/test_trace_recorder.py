"""Tests of recording a controller's rounds and replaying them on another controller."""

import asyncio

import xds_harness
from test_front import subscribed_client
from trace_helpers import read

from oatcart.events import EndpointLoadReported, ProxyLoadReported
from oatcart.model import (
    AdmissionMode,
    ChannelLimits,
    ControllerSettings,
    DiscoverySettings,
    LoadReport,
    WarmUpLimits,
)
from oatcart.trace import generate
from oatcart.trace.command_log import DiscardedCommands
from oatcart.trace.configuration import TraceSettings
from oatcart.trace.controller_tracing import trace_controller
from oatcart.trace.recorder import RoundRecorder, start_record
from oatcart.trace.records import FIELDS
from oatcart.trace.records import RecordKind as Kind
from oatcart.trace.replay import new_controller, replay
from oatcart.trace.round_codec import decode_settings
from oatcart.trace.summary import summarize


def record_on_loopback(folder, monkeypatch):
    """Return the records of a controller with proxies and xDS clients on loopback.

    It receives load reports, drains one endpoint, ejects another, and raises an exception for one event.
    """
    writers = []
    make_controller = xds_harness.XdsController

    def make_traced(cfg, xds, woken):
        settings = TraceSettings(str(folder))
        return make_controller(
            cfg, xds, woken, lambda make: trace_controller(make, cfg, settings, writers.append)
        )

    monkeypatch.setattr(xds_harness, "XdsController", make_traced)

    async def run():
        async with xds_harness.XdsHarness(xds_harness.endpoint_list(6)) as harness:
            client = await subscribed_client(harness, "c", True, "whole")
            endpoint_numbers = harness.controller.rounds.codec.endpoint_numbers
            harness.controller.rounds.add_event(ProxyLoadReported(8, "not a class", 1, 0, 1.0))
            for turn in range(8):
                for name, number in endpoint_numbers.items():
                    errors = 20 if name == "n2" else 0
                    load = LoadReport(None, 0.3, None)
                    report = EndpointLoadReported(number, 0, 1.0, 0.05 + turn / 100, errors, 20, load)
                    harness.controller.rounds.add_event(report)
                harness.controller.nested_loop.wake()
                await asyncio.sleep(0.05)
            await client.wait_until(lambda: client.endpoints("lookup")["n2"][1] == "UNHEALTHY")
            harness.update_list(n1=(9001, "b", "DRAINING", 0))
            await client.wait_until(lambda: client.endpoints("lookup")["n1"][1] == "DRAINING")

    xds_harness.run_async(run())
    writers[0].stop()
    return read(next(folder.iterdir()))


def with_another_command(records, number):
    """Return the records with an additional command in one round."""
    for one in records:
        if one.kind == Kind.ROUND and one.fields["number"] == number:
            commands = (*one.fields["orders"], ("wake", 9.0))
            yield one._replace(fields=one.fields | {"orders": commands})
        else:
            yield one


def test_a_controller_on_loopback_is_recorded_and_replayed_identically(tmp_path, monkeypatch):
    records = record_on_loopback(tmp_path / "traces", monkeypatch)
    result = replay(records)
    assert result.difference == ""
    assert result.rounds == sum(one.kind == Kind.ROUND for one in records)
    assert result.commands > 15
    decided = {(row["decision"], row["reason"]) for row in summarize(records)["decisions"]}
    assert {("withdraw", "evidence"), ("withdraw", "drain")} <= decided
    assert "round 5 differs" in replay(with_another_command(records, 5)).difference
    without_third = [one for one in records if one.kind != Kind.ROUND or one.fields["number"] != 3]
    assert "rounds are missing before number 4" in replay(without_third).difference
    without_start = [one for one in records if one.kind != Kind.START]
    assert replay(without_start).difference == "the start record is missing"


def test_a_controller_is_recreated_from_its_start_record():
    settings = ControllerSettings(
        request_classes=tuple(generated.request_class for generated in generate.CLASSES),
        discovery=DiscoverySettings(),
        channel=ChannelLimits(),
        warm_up=WarmUpLimits(),
        report_period=1.0,
        admission_mode=AdmissionMode.SHARE,
        cross_zone_price=0.0,
        health_checks_allowed=False,
    )
    start = start_record(0.0, "n0", 2**63 + 5, settings, [], [])
    fields = dict(zip((name for name, _ in FIELDS[Kind.START]), start[1:], strict=True))
    assert fields["seed"] == 2**63 + 5
    assert decode_settings(fields["records"]) == settings
    controller = new_controller(fields)
    assert controller.settings == settings
    controller.round(0.0, iter(()), DiscardedCommands())


def test_a_clock_step_is_recorded():
    records, unix_times = [], iter((1000.0, 1060.0, 1090.0))
    controller = new_controller({"seed": 1, "records": start_records()})
    recorder = RoundRecorder(controller.round, records.append, lambda: next(unix_times))
    for now in (0.0, 60.0, 120.0):
        recorder.round(now, iter(()), DiscardedCommands())
    assert [values[3] for values in records if values[0] == Kind.CLOCK] == [0.0, 0.0, -30.0]


def start_records():
    """Return the stored settings of a generated trace."""
    first = next(generate.generate_records(1, 1.0, 1.0))
    return dict(zip((name for name, _ in FIELDS[Kind.START]), first[1:], strict=True))["records"]
