"""Which servers an instance prefers, as functions of values without input or output."""

from berylhaven.subsets._server_subset import (
    REUSE_PERIOD_S,
    SUBSET_SIZE,
    is_sparse,
    order_servers,
)

__all__ = ["REUSE_PERIOD_S", "SUBSET_SIZE", "is_sparse", "order_servers"]
