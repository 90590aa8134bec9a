"""The way of a request.

A request enters and one final answer leaves, after the attempts, retries and hedges
that its route and the budgets allow.
"""
