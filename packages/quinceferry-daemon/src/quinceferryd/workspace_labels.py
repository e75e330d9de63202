"""Limits the number of workspaces that have a label of their own in metrics.

A fleet has thousands of workspaces, and a series for each would exhaust the process's memory: a
histogram alone takes kilobytes per workspace and priority class. Therefore a fixed number of
workspaces have their own label, and all others share one. A workspace keeps its label, because a
counter that disappeared and came back would show wrong rates. The number of requests needed for a
label doubles with each group of labels assigned: the first requests after a start do not use up the
labels, and a workspace that becomes busy later can still get one.
"""

OTHER_WORKSPACES = "other"
"""Label shared by all workspaces without a label of their own."""
MAX_LABELED_WORKSPACES = 48
"""Number of workspaces with a label of their own."""

_LABELS_PER_THRESHOLD = 8
"""Number of labels assigned before the threshold doubles."""
_FIRST_THRESHOLD_REQUESTS = 2
"""Requests that a workspace needs for one of the first labels."""
_COUNTED_WORKSPACES_PER_LABEL = 8
"""Limit of the unlabeled workspaces whose requests are counted, per available label."""


class WorkspaceLabels:
    """Assigns metric labels to workspaces.

    :param max_labeled: number of workspaces with a label of their own.
    """

    def __init__(self, max_labeled: int = MAX_LABELED_WORKSPACES) -> None:
        self._max_labeled = max_labeled
        self._labeled_workspaces: set[str] = set()
        self._counts_by_workspace: dict[str, int] = {}

    def label(self, workspace: str) -> str:
        """Return the label of a workspace, without counting a request."""
        return workspace if workspace in self._labeled_workspaces else OTHER_WORKSPACES

    def count_request(self, workspace: str) -> str:
        """Count one request of a workspace and return its label."""
        if workspace in self._labeled_workspaces:
            return workspace
        if len(self._labeled_workspaces) >= self._max_labeled:
            return OTHER_WORKSPACES
        count = self._counts_by_workspace.pop(workspace, 0) + 1
        if count >= self._threshold_requests():
            self._labeled_workspaces.add(workspace)
            return workspace
        self._counts_by_workspace[workspace] = count
        self._evict_oldest_count()
        return OTHER_WORKSPACES

    def _threshold_requests(self) -> int:
        """Return the number of requests that a workspace needs for the next label."""
        return _FIRST_THRESHOLD_REQUESTS * 2 ** (
            len(self._labeled_workspaces) // _LABELS_PER_THRESHOLD
        )

    def _evict_oldest_count(self) -> None:
        """Remove the count updated least recently when more workspaces than allowed are counted."""
        if len(self._counts_by_workspace) > self._max_labeled * _COUNTED_WORKSPACES_PER_LABEL:
            del self._counts_by_workspace[next(iter(self._counts_by_workspace))]
