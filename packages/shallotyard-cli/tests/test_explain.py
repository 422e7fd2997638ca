"""Tests of ``shallotyard explain``."""

import json

import pytest

OWNER = "ravo53a/i-5"


def write_log(tmp_path, *lines, name="front-1.log"):
    """Write log lines of instance front-1 and return the path of the file."""
    texts = []
    for second, decision, reason, fields in lines:
        value = {
            "time": f"2026-07-19T16:24:{second:06.3f}Z",
            "level": "INFO",
            "instance": "front-1",
            "decision": decision,
            "reason": reason,
        }
        texts.append(json.dumps(value | fields))
    path = tmp_path / name
    path.write_text("\n".join(texts) + "\n")
    return str(path)


def build_refusal(reason, at=20.0, request_id="r1", **fields):
    """Build a line about a refused request."""
    values = {"request_id": request_id, "status": 503, "queue": OWNER, "total_ms": 0}
    return (at, "refused", reason, values | fields)


def build_failed_attempt(at=19.5, request_id="r1", **fields):
    """Build a line about a failed attempt."""
    values = {"upstream": "i-5", "detail": "reset", "duration_ms": 12, "status": 0}
    return (at, "attempt-failed", "x", {"request_id": request_id} | values | fields)


@pytest.mark.parametrize(
    ("lines", "expected_text"),
    [
        ([build_refusal("unknown-route")], "no route"),
        ([build_refusal("stopping")], "shutting down"),
        ([build_refusal("cut-off")], "no other instance took"),
        (
            [
                (19.9, "answered", "200", {"request_id": "r1", "upstream": "i-5"}),
                (20.0, "relayed", "200", {"request_id": "r1", "relayed_to": "front-2"}),
            ],
            "upstream i-5 answered 200",
        ),
        (
            [
                (
                    20.0,
                    "answered",
                    "502",
                    {"request_id": "r1", "upstream": "i-5", "upstream_status": 503},
                )
            ],
            "upstream i-5 answered 503 after 0 ms; the caller got 502",
        ),
        (
            [(20.0, "relayed", "200", {"request_id": "r1", "relayed_to": "front-2"})],
            "instance front-2 replied 200",
        ),
        (
            [
                (19.9, "relay-failed", "busy", {"request_id": "r1"}),
                build_refusal("timeout"),
            ],
            "timed out while it waited",
        ),
        ([build_refusal("quarantined")], "three crashes"),
        (
            [build_failed_attempt(), build_refusal("response-lost")],
            "i-5 gave no usable response in 12 ms",
        ),
        ([build_failed_attempt(), build_refusal("timeout")], "reset"),
        (
            [build_failed_attempt(), (22.0, "upstream", "gone", {"upstream": "i-5"})],
            "the upstream was lost or removed",
        ),
        (
            [
                build_failed_attempt(19.0, "r2"),
                build_failed_attempt(19.2, "r3"),
                build_refusal("saturated"),
            ],
            "; 2 attempts from this instance had failed shortly before, which may have"
            " paused an upstream",
        ),
        (
            [build_refusal("saturated", 19.8, "r2"), build_refusal("saturated")],
            "1 other requests were refused",
        ),
        (
            [build_refusal("saturated", queue="orders")],
            "no free capacity at upstreams of orders",
        ),
        (
            [
                (18.0, "keys-move", "gone", {"upstream": "i-5", "first": 1}),
                build_refusal("key-without-owner"),
            ],
            "the keys of i-5 were moving: gone",
        ),
        (
            [(18.0, "granter", "acquired", {}), build_refusal("key-without-owner")],
            "the granter had changed",
        ),
        (
            [(18.0, "store", "lost", {}), build_refusal("owner-changing")],
            "key table of the instance was out of date",
        ),
        (
            [
                (18.0, "start", "process started", {}),
                (18.1, "store", "regained", {}),
                build_refusal("key-without-owner"),
            ],
            "had just started",
        ),
        (
            [build_refusal("key-without-owner", queue="ravo53a/")],
            "no keys had been granted",
        ),
        (
            [
                (
                    20.0,
                    "answered",
                    "200",
                    {"request_id": "r1", "upstream": "i-5", "waited_ms": 90},
                )
            ],
            "waited 90 ms",
        ),
    ],
)
def test_cause_is_named(run, tmp_path, lines, expected_text):
    """Guards against reporting a cause as unknown although the logs show it."""
    result = run("explain", "r1", write_log(tmp_path, *lines))
    assert (result.exit_code, result.stderr) == (0, "")
    first = result.stdout.splitlines()[0]
    assert first.startswith("cause: ")
    assert expected_text in first


def test_cause_is_unknown_without_evidence(run, tmp_path):
    """Guards against a guessed cause when no log line supports it."""
    path = write_log(tmp_path, build_refusal("key-without-owner"))
    result = run("explain", "r1", path)
    assert result.stdout.startswith("cause: unknown")


def test_state_of_the_instance_is_shown(run, tmp_path):
    """Guards against showing state that the instance reached after the request."""
    path = write_log(
        tmp_path,
        (3.0, "configuration", "in force", {"version": 7}),
        build_refusal("unknown-route"),
        (30.0, "configuration", "in force", {"version": 8}),
    )
    result = run("explain", "r1", path)
    assert "version=7" in result.stdout
    assert "version=8" not in result.stdout


def test_cut_of_the_instance_is_shown(run, tmp_path):
    """Guards against a report that does not show that the instance was cut off."""
    cut = (19.0, "cut-off", "began", {"upstreams": ["i-5"]})
    result = run("explain", "r1", write_log(tmp_path, cut, build_refusal("cut-off")))
    assert "evidence:" in result.stdout
    assert result.stdout.count("cut-off: began") == 2


def test_several_files_and_malformed_lines(run, tmp_path):
    """Guards against failures on truncated lines and on lines with a prefix."""
    first = tmp_path / "a.log"
    first.write_text('no json\n{"time": 7}\n{"half": \n')
    path = write_log(tmp_path, build_refusal("stopping"), name="b.log")
    text = (tmp_path / "b.log").read_text()
    (tmp_path / "b.log").write_text(f"12.5 front-1 {text}")
    result = run("explain", "r1", str(first), path, "--format=json")
    assert json.loads(result.stdout)["cause"] == "the instance was shutting down"


def test_unknown_request_and_missing_file(run, tmp_path):
    """Guards against a traceback, and against exit code 0 without an explanation."""
    result = run("explain", "r9", write_log(tmp_path, build_refusal("stopping")))
    assert result.exit_code == 1
    assert "r9" in result.stderr
    result = run("explain", "r1", str(tmp_path / "none.log"))
    assert result.exit_code == 1
    assert "none.log" in result.stderr
