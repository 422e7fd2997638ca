"""Sends mixed requests from background threads and records every response."""

import collections
import http.client
import itertools
import json
import random
import threading
import time

from shallotyard_testing.answers import ResponseRecord
from shallotyard_testing.scenarios import CLIENT

BOOKINGS = "/bookings/item"
STATUS = "/status/item"
TILL = "/till/item"
BODY = "order-body-of-traffic"
_TIMEOUT_S = 8.0
_REQUEST_PAUSE_S = 0.02
_CONNECTION_FAILURE_PAUSE_S = 0.1


class Traffic:
    """Threads that send keyed and unkeyed GET and POST requests.

    They run until ``stop`` is called, and repeat some of the requests.

    :param cluster: the ``Cluster``.
    :param seed: seed of the random choices.
    :param threads: number of threads, each with one request at a time.
    :param keys: number of keys.
    :param home_clients: pairs of a client with a home region and the instances
        to which it sends.
    """

    def __init__(self, cluster, seed, threads=16, keys=60, home_clients=()):
        self._cluster = cluster
        self._keys = keys
        self._home_clients = home_clients
        self._stopped = threading.Event()
        self._recent_requests = collections.deque(maxlen=200)
        self._request_numbers = itertools.count()
        self.prefix = f"t{seed}"
        self.records = []
        self._threads = [
            threading.Thread(target=self._run, args=(random.Random(seed * 1000 + n),))
            for n in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop after the requests in progress and return all records."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.records

    def _run(self, generator):
        while not self._stopped.is_set():
            request = self._choose_request(generator)
            record = send(self._cluster, **request)
            self.records.append(record)
            has_failed_connection = record.status == 0
            time.sleep(
                _CONNECTION_FAILURE_PAUSE_S
                if has_failed_connection
                else _REQUEST_PAUSE_S
            )

    def _choose_request(self, generator):
        instances = sorted(self._cluster.daemons_by_id)
        if self._recent_requests and generator.random() < 0.1:
            # Repeat an earlier request, often at another instance.
            client, request = generator.choice(list(self._recent_requests))
            allowed_instances = dict(self._home_clients).get(client, instances)
            return {**request, "instance": generator.choice(allowed_instances)}
        client, allowed_instances = CLIENT, instances
        if self._home_clients and generator.random() < 0.2:
            client, allowed_instances = generator.choice(self._home_clients)
        path = generator.choice((BOOKINGS, BOOKINGS, STATUS, STATUS, TILL))
        method = "POST" if generator.random() < 0.5 else "GET"
        number = next(self._request_numbers)
        has_idempotency_key = method == "POST" and generator.random() < 0.8
        request = {
            "instance": generator.choice(allowed_instances),
            "client": client,
            "path": path,
            "method": method,
            "key": ""
            if path == TILL
            else self.build_key(generator.randrange(self._keys)),
            "identity": f"{self.prefix}-identity-{number}"
            if has_idempotency_key
            else "",
            "query": f"n={self.prefix}-{number}",
        }
        if has_idempotency_key:
            self._recent_requests.append((client, request))
        return request

    def build_key(self, number):
        """Return the key with a given number."""
        return f"{self.prefix}-stall-{number}"


def send(cluster, instance, client, path, method, key, identity, query, body=BODY):
    """Send one request on a new connection.

    :param key: value of the Shallotyard-Key header; no header if empty.
    :param identity: value of the Idempotency-Key header; no header if empty.
    :param query: query string without ``?``.
    :param body: text of the body of a POST.
    :return: the `ResponseRecord`.
    """
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
    return ResponseRecord(
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
