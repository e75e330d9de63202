"""Records of crashed upstreams, by what the requests that they had share with others."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

from quinceferry_core.quarantine import RunStage, suspicion

MAX_TRAITS_PER_CRASH = 2_048
MAX_CONTENTS_PER_TRAIT = 8
"""Limits of the retained state."""
_LEAST_SUSPICION = suspicion(RunStage.PRODUCING)


@dataclass(slots=True, frozen=True)
class RequestAtCrash:
    """A request that an upstream had when it crashed; its traits come general ones first."""

    content: str
    stage: RunStage
    traits: tuple[str, ...]


@dataclass(slots=True)
class Presence:
    """The requests with one trait at one crash.

    ``depth`` is the position of the trait among those of its requests, general ones first.
    """

    depth: int
    suspicion: int = 0
    contents: set[str] = field(default_factory=set)

    @property
    def is_suspicious(self) -> bool:
        """Return whether a request with the trait can have caused the crash."""
        return self.suspicion > _LEAST_SUSPICION

    def add(self, content: str, request_suspicion: int) -> None:
        """Add a request; the most suspicious one counts."""
        self.suspicion = max(self.suspicion, request_suspicion)
        if len(self.contents) < MAX_CONTENTS_PER_TRAIT:
            self.contents.add(content)


@dataclass(slots=True)
class Crash:
    """The crash of an upstream, and the traits of the requests that it had."""

    crashed_at: float
    service: str
    max_suspicion: int = 0
    presence_by_trait: dict[str, Presence] = field(default_factory=dict)

    def add(self, request: RequestAtCrash) -> None:
        """Add a request that the upstream had."""
        request_suspicion = suspicion(request.stage)
        self.max_suspicion = max(self.max_suspicion, request_suspicion)
        for depth, trait in enumerate(request.traits):
            presence = self.presence_by_trait.get(trait)
            if presence is None:
                if len(self.presence_by_trait) >= MAX_TRAITS_PER_CRASH:
                    return
                presence = self.presence_by_trait[trait] = Presence(depth)
            presence.add(request.content, request_suspicion)

    def is_explained_by(self, traits: Collection[str]) -> bool:
        """Return whether a request with one of some traits, which are known causes, was there.

        It need not have been the most likely cause: causes are also found by their presence alone.
        """
        return any(self.is_possible_cause(trait) for trait in traits)

    def is_likely_cause(self, trait: str) -> bool:
        """Return whether no request without the trait is a more likely cause."""
        presence = self.presence_by_trait.get(trait)
        return self.is_possible_cause(trait) and presence.suspicion >= self.max_suspicion

    def is_possible_cause(self, trait: str) -> bool:
        """Return whether a request with the trait can have caused the crash."""
        presence = self.presence_by_trait.get(trait)
        return presence is not None and presence.is_suspicious

    def possible_causes(self) -> Iterator[str]:
        """Return all traits of which a request can have caused the crash."""
        return (trait for trait, item in self.presence_by_trait.items() if item.is_suspicious)
