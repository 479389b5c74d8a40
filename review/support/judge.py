"""Checks of rules over what the servers of a case did."""


def double_owners(servers):
    """Rule OWNER, first paragraph: pairs of servers that held the same keys at
    the same time and both began requests on such keys in that time.

    Returns tuples (seconds of overlap, server, server, first, last, begun by
    the one, begun by the other), the longest overlap first."""
    found = []
    for i, left in enumerate(servers):
        for right in servers[i + 1:]:
            if left.service != right.service:
                continue
            for f1, l1, _, from1, until1 in left.hold_log:
                for f2, l2, _, from2, until2 in right.hold_log:
                    first, last = max(f1, f2), min(l1, l2)
                    start, end = max(from1, from2), min(until1, until2)
                    if first > last or start >= end:
                        continue
                    begun = [sum(1 for at, key, _ in server.begun
                                 if start <= at < end and first <= key <= last)
                             for server in (left, right)]
                    if min(begun) > 0:
                        found.append((end - start, left.id, right.id, first,
                                      last, *begun))
    return sorted(found, reverse=True)


def held_together(servers, least_s):
    """Rule OWNER, third paragraph: pairs of servers that held the same keys
    for longer than `least_s`, with requests or without.

    Returns tuples (seconds, server, server, first, last), the longest first."""
    found = []
    for i, left in enumerate(servers):
        for right in servers[i + 1:]:
            if left.service != right.service:
                continue
            for f1, l1, _, from1, until1 in left.hold_log:
                for f2, l2, _, from2, until2 in right.hold_log:
                    first, last = max(f1, f2), min(l1, l2)
                    time_s = min(until1, until2) - max(from1, from2)
                    if first <= last and time_s > least_s:
                        found.append((time_s, left.id, right.id, first, last))
    return sorted(found, reverse=True)
