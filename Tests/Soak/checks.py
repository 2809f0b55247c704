"""Checks of the fault soak that compare what callers and endpoints saw with the faults."""
from callers import NOT_RUN_STATUSES
from fleet import GRACE_SECONDS, REVOKE_SECONDS

CONTACT_SECONDS = 5.0  # contact-ms of the users' requirements.
DRAIN_SECONDS = 4.0  # drain-ms of the users' requirements.
LIST_LAG_SECONDS = 1.0  # max-lag-ms of the list, plus the clock lag of the fakes.
WAIT_NOTICE_SECONDS = 0.5  # From an answer with Retry-After until it counts.
REQUESTS_WITHIN_WAIT = 2
RETURN_SECONDS = 8.0  # From the start under a former id until requests arrive, under faults.
LOST_ON_KEPT_CONNECTIONS = 3  # Allowed outside planned stops.
LATE_WORK = 5 / 6  # Fraction of the grace time; the endpoint may be cut off after it ...
LATE_WORK_SENT_SECONDS = 3.0  # ... with a request sent up to this time after SIGTERM.
CLOCK_SECONDS = 0.1  # Deadlines count from other times at host and caller.


def check_requests(record, removed_keys):
    """Repeats, broken promises, and requests of keys that were taken away."""
    for request in record.requests.values():
        runs = record.runs(request)
        if request.problem:
            yield request.problem
        if request.kind in ("order", "once") and len(runs) > 1:
            yield f"TWICE {request.id} {[run.incarnation for run in runs]}"
        if request.kind in ("order", "once") and runs and request.status in NOT_RUN_STATUSES:
            yield f"REFUSED {request.id} {request.status} ran at {runs[0].incarnation}"
        if request.status in ("401", "404") and request.key == "stable":
            yield f"DENIED {request.id} {request.status}"
        removed = removed_keys.get(request.key)
        if removed and runs and request.kind != "open" \
                and request.sent_at > removed + REVOKE_SECONDS:
            yield (f"REVOKED {request.id} ran {request.sent_at - removed:.1f} s after its key "
                   f"{request.key} was removed")


def check_drain(record, list_outages):
    """Requests that reach a leaving endpoint. The platform's list binds hosts in touch; what the
    endpoint says itself binds all."""
    for arrivals in record.arrivals.values():
        for arrival in arrivals:
            request, endpoint = arrival.request, arrival.endpoint
            listed = endpoint.draining_since if endpoint.lifetime == arrival.incarnation else None
            if listed and arrival.at > listed + DRAIN_SECONDS + LIST_LAG_SECONDS \
                    and not request.entry.faults.any_within(request.sent_at, arrival.at) \
                    and not list_outages.any_within(listed, arrival.at):
                yield f"DRAIN {request.id} reached {arrival.incarnation}"
            told = record.leaving_since.get((request.entry, arrival.incarnation))
            if told and request.sent_at > told + DRAIN_SECONDS \
                    and not request.entry.interruptions.any_within(told, arrival.at):
                yield (f"DRAIN {request.id} was sent {request.sent_at - told:.1f} s after "
                       f"{request.entry.name} had passed on that {arrival.incarnation} leaves")


def check_waits(record, worker_proxies):
    """More than two requests to an endpoint that has asked the host to wait."""
    by_pair = {}
    for arrivals in record.arrivals.values():
        for each in arrivals:
            by_pair.setdefault((each.request.entry, each.incarnation), []).append(each)
    for (entry, incarnation), arrivals in by_pair.items():
        arrivals.sort(key=lambda each: each.at)
        for refused in arrivals:
            if refused.wait is None:
                continue
            end = refused.at + refused.wait
            early = [each for each in arrivals
                     if refused.at + WAIT_NOTICE_SECONDS < each.at < end]
            proxy = worker_proxies[refused.endpoint.name]
            if len(early) > REQUESTS_WITHIN_WAIT \
                    and not entry.interruptions.any_within(refused.at, end) \
                    and not proxy.disturbances.any_within(refused.at - 1, end):
                yield (f"BUDGET {len(early)} requests of {entry.name} reached {incarnation} within "
                       f"the {refused.wait} s for which it had refused {refused.request.id}")
                break


def check_returned(record, returned, callers_end, worker_proxies, list_outages):
    """Endpoints that get nothing after they have started again under their id."""
    reached = {each.incarnation for arrivals in record.arrivals.values() for each in arrivals}
    for endpoint, lifetime, at in returned:
        due = at + RETURN_SECONDS
        if due < callers_end and lifetime not in reached \
                and not list_outages.any_within(at, due) \
                and not endpoint.crashes.any_within(at, due) \
                and not worker_proxies[endpoint.name].disturbances.any_within(at, due):
            yield f"RETURN {lifetime} got nothing in {callers_end - at:.1f} s after its start"


def was_disturbed(request, arrivals, entry_proxy, worker_proxies):
    """Whether a fault of the host, a proxy or an endpoint excuses a lost answer."""
    start, end = request.sent_at - CONTACT_SECONDS, request.ended_at
    return request.entry.interruptions.any_within(start, end) \
        or entry_proxy.disturbances.any_within(start, end) \
        or any(worker_proxies[each.endpoint.name].disturbances.any_within(start, end)
               or each.endpoint.crashes.any_within(start, end) for each in arrivals)


def check_lost(record, entry_proxies, worker_proxies):
    """Requests whose connection ended without a complete answer after they had been passed on."""
    kept = []
    for request in record.requests.values():
        arrivals = record.arrivals.get(request.id, [])
        if request.status != "cut" or not arrivals \
                or was_disturbed(request, arrivals, entry_proxies[request.entry], worker_proxies) \
                or request.ended_at > request.sent_at + request.deadline_ms / 1000 - CLOCK_SECONDS:
            continue
        stop = next((at for at in request.entry.stops
                     if at <= request.ended_at <= at + GRACE_SECONDS + 1), None)
        if stop is None:
            if request.on_used_connection:
                kept.append(request.id)
        elif request.sent_whole_at > stop + LATE_WORK_SENT_SECONDS \
                or arrivals[-1].ended_at < stop + GRACE_SECONDS * LATE_WORK:
            yield (f"LOST {request.id} at {request.entry.name}: sent "
                   f"{request.sent_whole_at - stop:.1f} s and cut {request.ended_at - stop:.1f} s "
                   "after SIGTERM")
    if len(kept) > LOST_ON_KEPT_CONNECTIONS:
        yield f"LOST {len(kept)} requests on kept connections outside planned stops: {kept}"
