#!/usr/bin/env python3
"""Compares ways to hold a tenant's limit over many proxies, by a small model. The table is in docs/design/quota.md.

    tools/quota_model.py [SEED]

One tenant with a limit of tokens a second; requests come as a Poisson stream, proxies have uneven parts of it. Told are, for a tenant that uses
1 / 1.3 of its limit, the requests refused (all of them wrongly); for one that asks six times its use, the most that passed in any window beyond
the limit, and how much of the limit was used; and the messages a second.
"""

import collections
import math
import random
import sys

WINDOW_S = 8.0
LENGTH_S = 60.0
MEAN_TOKENS = 8600.0
MOST_TOKENS = 93000.0
# Time after which all know of each other's counts, or a home knows of all grants.
GOSSIP_S = 0.1
ROUND_TRIP_S = 0.002


class Bucket:
    """A token bucket that goes into debt by one request."""

    def __init__(self, rate, burst):
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def take(self, now, cost):
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        if self.level < 0:
            return False
        self.level -= cost
        return True


class FixedParts:
    """Each proxy has an even part."""

    name = "fixed even parts"

    def __init__(self, rate, proxies, _random):
        self.buckets = [Bucket(rate / proxies, rate / proxies) for _ in range(proxies)]
        self.messages = 0

    def take(self, now, proxy, cost):
        return self.buckets[proxy].take(now, cost)


class Gossip:
    """Each proxy counts for itself and hears of the others' counts with a delay."""

    name = "counters told each 100 ms to all"

    def __init__(self, rate, proxies, _random):
        self.bucket = Bucket(rate, rate)
        self.pending = collections.deque()
        self.own = collections.defaultdict(float)
        self.proxies = proxies
        self.messages = int(LENGTH_S / GOSSIP_S) * proxies * (proxies - 1)

    def take(self, now, proxy, cost):
        while self.pending and self.pending[0][0] <= now - GOSSIP_S:
            at, other, spent = self.pending.popleft()
            self.bucket.level = min(self.bucket.burst, self.bucket.level + self.bucket.rate * (at + GOSSIP_S - self.bucket.at)) - spent
            self.bucket.at = at + GOSSIP_S
            self.own[other] -= spent
        level = min(self.bucket.burst, self.bucket.level + self.bucket.rate * (now - self.bucket.at))
        if level - self.own[proxy] < 0:
            return False
        self.own[proxy] += cost
        self.pending.append((now, proxy, cost))
        return True


class Chunks:
    """A home gives each proxy credit ahead, as much as its usual use in half a second, and takes back nothing."""

    name = "credit ahead from a home, half a second's use"

    def __init__(self, rate, proxies, _random):
        self.home, self.credit = Bucket(rate, rate), [0.0] * proxies
        self.chunk = max(rate / 1.3 / proxies * 0.5, MEAN_TOKENS)
        self.messages = 0

    def take(self, now, proxy, cost):
        while self.credit[proxy] < 0 or self.credit[proxy] == 0:
            self.messages += 2
            if not self.home.take(now, self.chunk):
                return False
            self.credit[proxy] += self.chunk
        self.credit[proxy] -= cost
        return True


class Home:
    """A home is asked for each request."""

    name = "a home asked for each request"

    def __init__(self, rate, _proxies, _random):
        self.bucket, self.messages = Bucket(rate, rate), 0

    def take(self, now, _proxy, cost):
        self.messages += 2
        return self.bucket.take(now + ROUND_TRIP_S / 2, cost)


def cost(draw):
    """Tokens of a request: many small ones, few large."""
    return min(MOST_TOKENS, draw.lognormvariate(math.log(MEAN_TOKENS) - 0.5, 1.0))


def play(scheme, rate, proxies, use, seed):
    """Share refused, most beyond the limit in a window as a share of the window's limit, use of the limit."""
    draw = random.Random(seed)
    parts = [draw.gammavariate(4, 1) for _ in range(proxies)]
    limiter = scheme(rate, proxies, draw)
    now, asked, refused, passed = 0.0, 0, 0, collections.deque()
    in_window, worst, total = 0.0, 0.0, 0.0
    while now < LENGTH_S:
        now += draw.expovariate(use / MEAN_TOKENS)
        proxy = draw.choices(range(proxies), parts)[0]
        tokens = cost(draw)
        asked += 1
        if not limiter.take(now, proxy, tokens):
            refused += 1
            continue
        passed.append((now, tokens))
        in_window, total = in_window + tokens, total + tokens
        while passed[0][0] < now - WINDOW_S:
            in_window -= passed.popleft()[1]
        worst = max(worst, in_window - rate * (WINDOW_S + 1))
    return refused / asked, worst / (rate * (WINDOW_S + 1)), total / (rate * LENGTH_S), limiter.messages / LENGTH_S


def main():
    """Prints the table."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print("| way | proxies | limit, tokens/s | refused below the limit | most beyond the limit | of the limit used | messages/s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for proxies in (10, 56, 300):
        for rate in (47_000.0, 784_000.0):
            for scheme in (FixedParts, Gossip, Chunks, Home):
                below = play(scheme, rate, proxies, rate / 1.3, seed)
                beyond = play(scheme, rate, proxies, 6 * rate / 1.3, seed)
                print(
                    f"| {scheme.name} | {proxies} | {rate:,.0f} | {below[0]:.1%} | {max(0.0, beyond[1]):.1%} | {beyond[2]:.1%} | {below[3]:,.0f} |"
                )


if __name__ == "__main__":
    main()
