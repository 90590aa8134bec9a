"""A decaying maximum of the demand for a limit."""

# The maximum is multiplied by this factor at each new observation.
DEMAND_DECAY_RATIO = 0.9
# A smaller demand counts as 0, because the decay alone never reaches 0.
MIN_DEMAND = 0.01


class Demand:
    """The recent peak demand for one limit."""

    __slots__ = ("amount",)

    def __init__(self) -> None:
        # The largest recent demand, in units of the limit.
        self.amount = 0.0

    def observe(self, amount: float) -> None:
        """Record the demand since the last observation."""
        self.amount = max(amount, self.amount * DEMAND_DECAY_RATIO)
        if self.amount < MIN_DEMAND:
            self.amount = 0.0
