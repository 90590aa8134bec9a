"""How much of a limit is wanted."""

# Demand of earlier observations counts less by this factor at each new one.
DEMAND_DECAY_RATIO = 0.9
# Below this, demand counts as none, or it would never quite end.
SMALLEST_DEMAND = 0.01


class Demand:
    """How much of one limit was wanted lately."""

    __slots__ = ("amount",)

    def __init__(self) -> None:
        # The largest recent demand, in units of the limit.
        self.amount = 0.0

    def observe(self, amount: float) -> None:
        """Take in the demand since the last observation."""
        self.amount = max(amount, self.amount * DEMAND_DECAY_RATIO)
        if self.amount < SMALLEST_DEMAND:
            self.amount = 0.0
