"""Tasks whose failures are reported."""

import asyncio
import random
import traceback

from shallotyard_core.effects import LogDecision
from shallotyard_daemon.clock import read_clock
from shallotyard_daemon.logs import log_decision
from shallotyard_direct.events import DecisionMade

INITIAL_RESTART_PAUSE_S = 0.2
# Each start of a watch lists a kind, and lists are paid for.
MAX_RESTART_PAUSE_S = 5.0
# A task that has run for longer is started again as after a first failure.
STABLE_RUN_S = 30.0
# A fault that shows at each tick is reported once in this time.
REPORT_PERIOD_S = 1.0
_MAX_REPORTED_FRAMES = 6


class FailureReporter:
    """Reports exceptions that nothing handles, as decisions ``task-failed``.

    :param dispatch: function that takes an event; None to log without an event.
    """

    def __init__(self, dispatch=None):
        self.dispatch = dispatch
        self.reported_at_by_place = {}

    def report(self, task_name, error):
        """Report that a task has failed. The text of the error is left out, because it
        may contain keys or parts of bodies.
        """
        frames = traceback.extract_tb(error.__traceback__)[-_MAX_REPORTED_FRAMES:]
        places = [
            f"{f.filename.rpartition('/')[2]}:{f.lineno} {f.name}" for f in frames
        ]
        place = (task_name, places[-1] if places else "")
        now = read_clock()
        if (
            now
            < self.reported_at_by_place.get(place, -REPORT_PERIOD_S) + REPORT_PERIOD_S
        ):
            return
        self.reported_at_by_place[place] = now
        fields = {"task": task_name, "at": places}
        decision = LogDecision("task-failed", type(error).__name__, fields)
        if self.dispatch is None:
            log_decision(decision)
            return
        try:
            self.dispatch(DecisionMade(now, decision))
        except Exception:
            # The reducer itself may be what fails.
            log_decision(decision)


def start_task(coroutine, tasks, reporter):
    """Start a task, and report an exception that ends it.

    :param tasks: set that contains the task while it runs.
    :param reporter: the `FailureReporter`.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    tasks.add(task)

    def finish(task):
        tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            reporter.report(coroutine.__qualname__, task.exception())

    task.add_done_callback(finish)
    return task


async def run_again_after_failures(name, run, clean_up, reporter):
    """Run a coroutine function without end. An exception is reported, and the function
    is called again after a pause.

    :param name: name of the task in reports.
    :param clean_up: function called after each failure.
    :param reporter: the `FailureReporter`.
    """
    pause_s = INITIAL_RESTART_PAUSE_S
    while True:
        began_at = read_clock()
        try:
            await run()
        except Exception as error:
            reporter.report(name, error)
            clean_up()
        if read_clock() > began_at + STABLE_RUN_S:
            pause_s = INITIAL_RESTART_PAUSE_S
        await asyncio.sleep(pause_s * (0.5 + random.random()))
        pause_s = min(MAX_RESTART_PAUSE_S, 2 * pause_s)
