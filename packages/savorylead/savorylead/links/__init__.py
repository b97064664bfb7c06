"""Links to peers, workers and the store: deadlines, back-off and retry budgets."""

__all__: list[str] = []
