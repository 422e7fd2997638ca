"""Pages of the daemon itself: status, readiness and metrics."""

import orjson

from shallotyard_core.status import build_status


def build_pages(router):
    """Return the page functions by path.

    :param router: the `Router` state.
    """

    def show_status(request):
        body = orjson.dumps(build_status(router), option=orjson.OPT_NON_STR_KEYS)
        return 200, "application/json", body

    def show_ready(request):
        ready = router.control.table is not None and not router.own.leaving
        ready = ready and router.own.domain not in router.entry.out
        ready = ready and router.own.instance_id not in router.entry.out
        return (200 if ready else 503), "text/plain", b"ready\n" if ready else b"no\n"

    return {"/status": show_status, "/ready": show_ready}
