"""Mixed traffic that records every answer, and checks of the answers."""

import collections
import http.client
import itertools
import json
import random
import threading
import time
from dataclasses import dataclass

from shallotyard_testing.scenarios import CLIENT

BOOKINGS = "/bookings/item"
STATUS = "/status/item"
TILL = "/till/item"
BODY = "order-body-of-traffic"
_TIMEOUT_S = 8.0
_PAUSE_S = 0.02
_REFUSED_PAUSE_S = 0.1


@dataclass(slots=True)
class Answer:
    """One request and its answer; times in seconds of ``time.monotonic``.

    :param status: HTTP status, 0 if the connection broke or was refused.
    :param request_id: id that the router gave, ``""`` if it did not answer.
    """

    instance: str
    client: str
    path: str
    method: str
    key: str
    identity: str
    query: str
    started_at: float
    ended_at: float
    status: int
    verdict: str
    request_id: str
    value: dict


class Traffic:
    """Threads that send requests of all kinds until they are stopped.

    :param cluster: the ``Cluster``.
    :param seed: seed of the choices.
    :param threads: number of threads, each with one request at a time.
    :param keys: number of keys.
    :param home_clients: (client, instances) of clients with a home region.
    """

    def __init__(self, cluster, seed, threads=16, keys=60, home_clients=()):
        self._cluster = cluster
        self._keys = keys
        self._home_clients = home_clients
        self._stopped = threading.Event()
        self._recent = collections.deque(maxlen=200)
        self._numbers = itertools.count()
        self.prefix = f"t{seed}"
        self.answers = []
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed * 1000 + n),))
            for n in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Wait for the requests in progress and return all answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.answers

    def _run(self, generator):
        while not self._stopped.is_set():
            request = self._choose(generator)
            answer = send(self._cluster, **request)
            self.answers.append(answer)
            refused = answer.status == 0
            time.sleep(_REFUSED_PAUSE_S if refused else _PAUSE_S)

    def _choose(self, generator):
        instances = sorted(self._cluster.daemons_by_id)
        if self._recent and generator.random() < 0.1:
            # A caller that repeats, often at another instance.
            client, request = generator.choice(list(self._recent))
            allowed = dict(self._home_clients).get(client, instances)
            return {**request, "instance": generator.choice(allowed)}
        client, allowed = CLIENT, instances
        if self._home_clients and generator.random() < 0.2:
            client, allowed = generator.choice(self._home_clients)
        path = generator.choice((BOOKINGS, BOOKINGS, STATUS, STATUS, TILL))
        method = "POST" if generator.random() < 0.5 else "GET"
        number = next(self._numbers)
        with_identity = method == "POST" and generator.random() < 0.8
        request = {
            "instance": generator.choice(allowed),
            "client": client,
            "path": path,
            "method": method,
            "key": "" if path == TILL else self.key(generator.randrange(self._keys)),
            "identity": f"{self.prefix}-identity-{number}" if with_identity else "",
            "query": f"n={self.prefix}-{number}",
        }
        if with_identity:
            self._recent.append((client, request))
        return request

    def key(self, number):
        """Return a key of this traffic."""
        return f"{self.prefix}-stall-{number}"


def send(cluster, instance, client, path, method, key, identity, query, body=BODY):
    """Send one request and return the `Answer`."""
    host, _, port = cluster.daemons_by_id[instance].http_address.rpartition(":")
    headers = {"Authorization": f"Bearer {cluster.credentials[client]}"}
    if key:
        headers["Shallotyard-Key"] = key
    if identity:
        headers["Idempotency-Key"] = identity
    connection = http.client.HTTPConnection(host, int(port), timeout=_TIMEOUT_S)
    started_at = time.monotonic()
    status, verdict, request_id, value = 0, "", "", {}
    try:
        data = body.encode() if method == "POST" else None
        connection.request(method, f"{path}?{query}", data, headers)
        response = connection.getresponse()
        content = response.read()
        status = response.status
        verdict = response.headers.get("Shallotyard-Verdict", "")
        request_id = response.headers.get("Shallotyard-Request-Id", "")
        value = json.loads(content) if content[:1] == b"{" else {}
    except (OSError, http.client.HTTPException, ValueError):
        status = 0
    finally:
        connection.close()
    return Answer(
        instance,
        client,
        path,
        method,
        key,
        identity,
        query,
        started_at,
        time.monotonic(),
        status,
        verdict,
        request_id,
        value,
    )


def check_answers(answers, entries):
    """Compare answers with the journals of the upstreams.

    :param answers: list of `Answer`.
    :param entries: executions as dicts.
    :return: first example and count of each kind of violation.
    """
    ran_ids = {entry["request_id"] for entry in entries}
    ran_identities = {entry["idempotency_key"] for entry in entries}
    verdicts_by_identity = collections.defaultdict(set)
    for answer in answers:
        if answer.identity:
            verdicts_by_identity[answer.identity].add(answer.verdict)
    found = collections.defaultdict(list)
    for answer in answers:
        for kind in _judge(answer, ran_ids):
            found[kind].append(answer)
        identity = answer.identity
        # With several requests under one key, another one may have run.
        if verdicts_by_identity[identity] == {"not-run"} and identity in ran_identities:
            found["not_run_but_identity_ran"].append(answer)
    return {
        kind: {"count": len(bad), "example": str(bad[0])} for kind, bad in found.items()
    }


def _judge(answer, ran_ids):
    if answer.verdict == "not-run" and answer.request_id in ran_ids:
        yield "not_run_but_ran"
    if answer.status == 200:
        value = answer.value
        if value.get("query") != answer.query or value.get("key") != answer.key:
            yield "crossed_answer"
        elif value.get("request_id") not in ran_ids:
            yield "answer_without_run"
    elif answer.status and answer.verdict not in ("not-run", "may-have-run"):
        yield "no_verdict"


def measure_unavailability(answers, began_at, window_s):
    """Return how long each key was not served after a loss.

    The time runs from the start of the first request that failed to the end
    of the first one after it that ran. Keys without a failure count with their
    slowest request.

    :param answers: list of `Answer`.
    :param began_at: time of the loss.
    :param window_s: seconds after the loss in which a first failure counts.
    :return: seconds by key; ``None`` for keys that were not served again.
    """
    by_key = collections.defaultdict(list)
    for answer in answers:
        if answer.key and began_at <= answer.started_at < began_at + 3 * window_s:
            by_key[answer.path, answer.key, answer.client].append(answer)
    return {key: _longest(each, began_at + window_s) for key, each in by_key.items()}


def _longest(answers, end):
    answers.sort(key=lambda answer: answer.started_at)
    failed_at = None
    longest = 0.0
    for answer in answers:
        if answer.status == 200:
            if failed_at is not None:
                longest = max(longest, answer.ended_at - failed_at)
                failed_at = None
            if answer.started_at < end:
                longest = max(longest, answer.ended_at - answer.started_at)
        elif answer.status != 0 and failed_at is None and answer.started_at < end:
            # A dead entry instance (status 0) says nothing about the key.
            failed_at = answer.started_at
    return longest if failed_at is None else None


def describe(values):
    """Return count, percentiles and maximum of seconds."""
    ordered = sorted(value for value in values if value is not None)
    unserved = sum(value is None for value in values)
    if not ordered:
        return {"count": 0, "unserved": unserved}

    def pick(share):
        return round(ordered[int(share * (len(ordered) - 1))], 3)

    return {
        "count": len(ordered),
        "unserved": unserved,
        "p50_s": pick(0.5),
        "p90_s": pick(0.9),
        "p99_s": pick(0.99),
        "max_s": pick(1.0),
    }
