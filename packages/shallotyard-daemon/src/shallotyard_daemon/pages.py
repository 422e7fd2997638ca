"""HTTP pages of the daemon: status, readiness and metrics."""

import html

import orjson

from shallotyard_core.guarantees import TEXT_BY_GUARANTEE
from shallotyard_core.service_state import is_out_of_service
from shallotyard_core.status import build_status
from shallotyard_core.summary import DaemonReply
from shallotyard_core.summary import DaemonStatus
from shallotyard_core.summary import format_headline
from shallotyard_core.summary import list_rows
from shallotyard_core.summary import summarise
from shallotyard_daemon.metrics import render_metrics

_HTML_TYPE = "text/html; charset=utf-8"
_STYLE = """
body { font: 16px/1.4 sans-serif; margin: 2em auto; max-width: 60em; padding: 0 1em;
  color: #222; background: #fff; }
h1 { font-size: 1.5em; border-left: 0.4em solid; padding-left: 0.5em; }
h1.well { border-color: #1a7f37; }
h1.attention { border-color: #c62828; }
h2 { font-size: 1.1em; margin: 1.5em 0 0.3em; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 0.2em 1em 0.2em 0; vertical-align: top;
  border-bottom: 1px solid #ddd; }
th { font-weight: normal; color: #555; white-space: nowrap; }
.broken, .dead, .unreachable { color: #c62828; font-weight: bold; }
"""
# Not shown on the page of one daemon: if the page is displayed, the daemon answers.
_HIDDEN_ROWS = frozenset({"not answering"})


def build_pages(router):
    """Return a dict from path to the function that renders its page.

    :param router: the `Router` state.
    :return: functions from a tornado request to (status, content type, body).
    """

    def render_status_response(request):
        status = build_status(router)
        formats = request.arguments.get("format", [b"html"])
        if formats[-1] == b"json":
            body = orjson.dumps(status, option=orjson.OPT_NON_STR_KEYS)
            return 200, "application/json", body
        return 200, _HTML_TYPE, render_status(status).encode()

    def render_ready_response(request):
        ready = router.control.table is not None and not router.own.leaving
        own = router.own
        ready = ready and not is_out_of_service(
            own.instance_id, own.domain, router.ingress.out_of_service_ids
        )
        return (200 if ready else 503), "text/plain", b"ready\n" if ready else b"no\n"

    def render_metrics_response(request):
        body, content_type = render_metrics(router)
        return 200, content_type, body

    return {
        "/status": render_status_response,
        "/ready": render_ready_response,
        "/metrics": render_metrics_response,
    }


def render_status(status):
    """Return the status of one daemon as an HTML page.

    :param status: result of `build_status`.
    """
    reply = DaemonReply(status["instance"], DaemonStatus.model_validate(status))
    summary = summarise([reply], known_versions=status["known_versions"])
    css_class = "attention" if summary["attention"] else "well"
    location = f"{status['instance']} in {status['domain']}, {status['region'] or '?'}"
    parts = [
        "<!DOCTYPE html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>{_escape(location)}: shallotyard status</title>",
        f"<style>{_STYLE}</style></head><body>",
        f'<h1 class="{css_class}">{_escape(format_headline(summary))}</h1>',
        f"<p>Instance {_escape(location)}, up for {status['uptime_s']:.0f} s"
        f"{', leaving' if status['leaving'] else ''}. This page is about one daemon;"
        " <code>shallotyard status</code> shows all of them.</p>",
        _render_table(_list_state_rows(status, summary)),
        "<h2>Promises</h2>",
        _render_table(_list_guarantee_rows(status["promises"])),
        "<h2>Configuration at other instances</h2>",
        _render_table(_list_version_rows(status["known_versions"], status["region"])),
        "<h2>Upstreams held here</h2>",
        _render_table(_list_upstream_rows(status["upstreams"])),
        "</body></html>",
    ]
    return "\n".join(parts) + "\n"


def _list_state_rows(status, summary):
    rows = [row for row in list_rows(summary) if row[0] not in _HIDDEN_ROWS]
    rows.append(("requests in progress", status["requests_in_progress"]))
    rows.append(
        (
            "attempts",
            f"{status['attempts']}, of which retries {status['retries']} and hedges"
            f" {status['hedges']}",
        )
    )
    rows.append(("claims", f"{status['claims']}, lease {status['lease_s']:.1f} s"))
    store = status["store"]
    rows.append(("store calls", f"reads {store['reads']}, writes {store['writes']}"))
    return rows


def _list_guarantee_rows(guarantees):
    return [
        (TEXT_BY_GUARANTEE.get(name, f"Further assertion {name}."), state)
        for name, state in guarantees.items()
    ]


def _list_version_rows(versions_by_instance, region):
    return [
        (
            instance,
            f"manifest {_format_version(versions['manifest_version'])}",
            f"service state {_format_version(versions['service_state_revision'])}",
            f"assignments of {region}"
            f" {_format_version(versions['assignment_revision'])}",
        )
        for instance, versions in versions_by_instance.items()
    ]


def _list_upstream_rows(upstreams_by_id):
    return [
        (
            upstream_id,
            upstream["state"],
            f"{upstream['in_flight']} in flight",
            f"limit {upstream['limit']}",
        )
        for upstream_id, upstream in upstreams_by_id.items()
    ]


def _format_version(value):
    return "unknown" if value is None or value < 0 else value


def _render_table(rows):
    if not rows:
        return "<p>none</p>"
    lines = []
    for label, *cells in rows:
        cells_html = "".join(_render_cell(cell) for cell in cells)
        lines.append(f"<tr><th>{_escape(label)}</th>{cells_html}</tr>")
    return "<table>" + "\n".join(lines) + "</table>"


def _render_cell(cell):
    text = _escape(cell)
    css_class = text if text in ("broken", "dead", "unreachable") else ""
    return f'<td class="{css_class}">{text}</td>' if css_class else f"<td>{text}</td>"


def _escape(value):
    return html.escape(str(value))
