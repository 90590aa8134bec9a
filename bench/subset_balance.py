"""Compare subsets of servers by the load of the busiest server and by stability."""

import math
import zlib
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

import fire

from berylhaven.subsets import SUBSET_SIZE, order_servers

# Instances, data centres and servers of each service.
FLEETS = (
    (119, 3, (58, 32, 8, 66)),
    (230, 4, (107, 70, 24)),
    (200, 3, (35, 53, 26)),
    (730, 4, (730,)),
)
SEEDS = range(5)

Subset = Callable[[str, list[str], list[str]], Sequence[str]]


def circle(own: str, members: list[str], servers: list[str]) -> Sequence[str]:
    """Return the subset that the gateway uses."""
    return order_servers("s", own, members, servers)[:SUBSET_SIZE]


def rendezvous(own: str, members: list[str], servers: list[str]) -> Sequence[str]:
    """Return the servers with the highest hashes together with the instance."""
    servers = sorted(servers, key=lambda name: zlib.crc32(f"{name} {own}".encode()))
    return servers[:SUBSET_SIZE]


def shuffled_rounds(own: str, members: list[str], servers: list[str]) -> Sequence[str]:
    """Return the part of the shuffled servers that belongs to the instance's rank."""
    part_count = max(1, len(servers) // SUBSET_SIZE)
    round_number, part = divmod(sorted(members).index(own), part_count)
    servers = sorted(servers)
    Random(round_number).shuffle(servers)
    return servers[part * SUBSET_SIZE : (part + 1) * SUBSET_SIZE]


def busiest_ratio(subset: Subset, members: list[str], servers: list[str]) -> float:
    """Return the number of subsets with the busiest server relative to the mean."""
    subsets = [subset(own, members, servers) for own in members]
    counts = Counter(server for names in subsets for server in names)
    return max(counts.values()) * len(servers) / counts.total()


def replaced_share(
    subset: Subset,
    members: list[str],
    servers: list[str],
    members_after: list[str],
    servers_after: list[str],
) -> float:
    """Return the share of the subsets' servers that a change replaces."""
    replaced_count = 0
    for own in members_after:
        before = set(subset(own, members, servers))
        replaced_count += len(
            before.difference(subset(own, members_after, servers_after))
        )
    return replaced_count / (len(members_after) * SUBSET_SIZE)


def main() -> None:
    """Print a table of the ways, for the servers of one data centre."""
    print("| fleet | way | busiest to mean | member lost | server lost |")
    print("|---|---|---|---|---|")
    for instance_count, centre_count, server_counts in FLEETS:
        for server_count in server_counts:
            for way in (circle, rendezvous, shuffled_rounds):
                worst, member_lost, server_lost = 0.0, 0.0, 0.0
                for seed in SEEDS:
                    random = Random(seed)
                    members = [
                        f"10.{random.randrange(256)}.{number}:81"
                        for number in range(math.ceil(instance_count / centre_count))
                    ]
                    servers = [
                        f"srv-{random.randrange(10**6)}-{number}"
                        for number in range(math.ceil(server_count / centre_count))
                    ]
                    worst = max(worst, busiest_ratio(way, members, servers))
                    member_lost += replaced_share(
                        way, members, servers, members[1:], servers
                    )
                    server_lost += replaced_share(
                        way, members, servers, members, servers[1:]
                    )
                print(
                    f"| {instance_count} x {server_count} | {way.__name__} "
                    f"| {worst:.2f} | {member_lost / len(SEEDS):.3f} "
                    f"| {server_lost / len(SEEDS):.3f} |"
                )


if __name__ == "__main__":
    fire.Fire(main)
