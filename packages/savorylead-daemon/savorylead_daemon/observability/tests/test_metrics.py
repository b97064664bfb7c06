import pytest

from savorylead.contracts import TaskKind
from savorylead.journal import RequeueReason
from savorylead.links import LinkCount
from savorylead.outcomes import Refusal
from savorylead_daemon.observability import Metrics, Readiness, WaitStage


def lines_of(metrics):
    body, content_type = metrics.render()
    assert content_type.startswith("text/plain")
    return body.decode().splitlines()


def new_metrics():
    return Metrics(cpu_seconds=lambda: 2.5)


@pytest.mark.parametrize("reason", list(Refusal))
def test_each_refusal_has_a_counter_from_the_start(reason):
    metrics = new_metrics()
    series = f'savorylead_refusals_total{{reason="{reason}"}}'
    assert f"{series} 0" in lines_of(metrics)
    metrics.count_refusal(reason)
    metrics.count_refusal(reason, 3)
    assert f"{series} 4" in lines_of(metrics)


@pytest.mark.parametrize("reason", list(RequeueReason))
def test_each_requeue_has_a_counter_from_the_start(reason):
    metrics = new_metrics()
    series = f'savorylead_requeues_total{{reason="{reason}"}}'
    assert f"{series} 0" in lines_of(metrics)
    metrics.count_requeue(reason)
    assert f"{series} 1" in lines_of(metrics)


@pytest.mark.parametrize(
    ("act", "line"),
    [
        (
            lambda m: m.count_retry("store", "timeout"),
            'savorylead_retries_total{link="store",reason="timeout"} 1',
        ),
        (
            lambda m: m.set_link_counts("peer", {LinkCount.SILENT_CLOSED: 3}),
            'savorylead_link_events_total{event="silent_closed",link="peer"} 3',
        ),
        (
            lambda m: m.set_link_counts("store", {LinkCount.RETRIED_SILENT: 2}),
            'savorylead_retries_total{link="store",reason="silent"} 2',
        ),
        (
            lambda m: m.set_store_calls("list", "ok", 9),
            'savorylead_store_calls_total{call="list",result="ok"} 9',
        ),
        (
            lambda m: m.count_request("tasks", 200),
            'savorylead_http_requests_total{route="tasks",status="200"} 1',
        ),
        (
            lambda m: m.count_store_call("swap", "conflict"),
            'savorylead_store_calls_total{call="swap",result="conflict"} 1',
        ),
        (
            lambda m: m.set_control_bytes("peer", 10, 20),
            'savorylead_control_bytes_total{direction="sent",link="peer"} 20',
        ),
        (
            lambda m: m.count_journal_stall("mv-1"),
            'savorylead_journal_stalls_total{shard="mv-1"} 1',
        ),
        (
            lambda m: m.set_packing("cores", 0.75),
            'savorylead_packing_ratio{resource="cores"} 0.75',
        ),
        (
            lambda m: m.set_share_distances({"dispatch": -0.02}),
            'savorylead_share_distance_ratio{team="dispatch"} -0.02',
        ),
        (lambda m: m.set_leads({"a": 1, "b": 2}), "savorylead_leads_held 2"),
        (lambda m: m.set_leads({"a": 7}), 'savorylead_shard_epoch{shard="a"} 7'),
        (lambda m: m.set_revision(42), "savorylead_config_revision 42"),
        (lambda m: m.set_ready(True), "savorylead_ready 1"),
        (lambda m: None, "savorylead_control_cpu_seconds_total 2.5"),
    ],
)
def test_each_series_shows_what_was_counted(act, line):
    metrics = new_metrics()
    act(metrics)
    assert line in lines_of(metrics)


@pytest.mark.parametrize("event", list(LinkCount))
def test_only_repeated_calls_of_a_link_are_retries(event):
    metrics = new_metrics()
    metrics.set_link_counts("store", {event: 5})
    retries = [line for line in lines_of(metrics) if "_retries_total{" in line]
    assert len(retries) == event.value.startswith("retried_")


def test_waiting_times_are_cumulated_by_kind():
    metrics = new_metrics()
    for waited_ms in (5, 6, 8_000, 4_000_000):
        metrics.observe_wait(WaitStage.STARTED, TaskKind.BATCH, waited_ms)
    lines = lines_of(metrics)
    name = "savorylead_submit_to_started_seconds"
    for bound, count in (("0.005", 1), ("0.01", 2), ("7.5", 2), ("15.0", 3)):
        assert f'{name}_bucket{{kind="batch",le="{bound}"}} {float(count)}' in lines
    assert f'{name}_bucket{{kind="batch",le="+Inf"}} 4.0' in lines
    assert f'{name}_count{{kind="batch"}} 4.0' in lines
    assert f'{name}_sum{{kind="batch"}} 4008.011' in lines
    assert f'{name}_count{{kind="service"}} 0.0' in lines


def test_teams_and_shards_that_are_gone_are_no_longer_shown():
    metrics = new_metrics()
    metrics.set_share_distances({"old": 0.1, "new": 0.2})
    metrics.set_leads({"a": 1, "b": 1})
    metrics.set_shard_load("a", 5, 6)
    lines_of(metrics)
    metrics.set_share_distances({"new": 0.2})
    metrics.set_leads({"b": 1})
    text = "\n".join(lines_of(metrics))
    assert 'team="old"' not in text
    assert 'shard="a"' not in text
    assert 'shard="b"' in text


def test_a_name_can_not_break_out_of_its_label():
    metrics = new_metrics()
    metrics.set_share_distances({'x"} 1\nfake_metric 9\\': 0.5})
    text = "\n".join(lines_of(metrics))
    assert '{team="x\\"} 1\\nfake_metric 9\\\\"} 0.5' in text
    assert not any(line.startswith("fake_metric") for line in text.splitlines())


def test_two_daemons_in_one_process_count_apart():
    first, second = new_metrics(), new_metrics()
    first.set_revision(5)
    assert "savorylead_config_revision 5" not in lines_of(second)


def test_readiness_needs_every_reason_cleared():
    readiness = Readiness()
    assert not readiness.is_ready()
    readiness.block("config_stale")
    readiness.clear(Readiness.STARTING)
    assert readiness.reasons() == ("config_stale",)
    readiness.clear("config_stale")
    assert readiness.is_ready()
