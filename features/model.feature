Feature: Model checking of the core protocol
  Small models are explored exhaustively. Each guard of the protocol is left out in turn, and the
  shortest run that then breaks a promise is followed once more, step by step.

  Scenario Outline: Every state of a model keeps all invariants
    When the protocol model "<model>" is explored
    Then all its states are visited and keep every invariant

    Examples:
      | model                                                                |
      | budget record (without top-up)                                       |
      | budget record (top-up alone)                                         |
      | journal and recovery (upstream checks fencing numbers, one request)  |
      | journal and recovery (upstream ignores fencing numbers, one request) |
      | copies at peers (one registration)                                   |
      | non-idempotent request (home journals)                               |
      | non-idempotent request (home does not journal)                       |

  Scenario Outline: A missing guard breaks a promise
    When the protocol model "<model>" is explored for "<promise>" without "<guard>"
    Then the shortest counterexample breaks the promise when it is followed
    And with the guard in force the same steps break nothing

    Examples: budgets
      | model                          | guard                                           | promise                          |
      | budget record (without top-up) | operation sequence compared after a lost answer | tokens run stay within the grant |
      | budget record (without top-up) | ledger debited before tokens are returned       | tokens run stay within the grant |
      | budget record (top-up alone)   | top-up recognised by its operation id           | a top-up is granted once         |
      | budget record (top-up alone)   | top-up mark read after the budget record        | a top-up is granted once         |

    Examples: journals and recovery
      | model                                                                    | guard                                                                | promise                                      |
      | journal and recovery (upstream ignores fencing numbers)                  | journal closed before tokens are reclaimed                           | tokens run stay within the grant             |
      | journal and recovery (upstream ignores fencing numbers)                  | Begin committed before dispatch                                      | tokens run stay within the grant             |
      | journal and recovery (upstream ignores fencing numbers)                  | closing slot ends the journal                                        | tokens run stay within the grant             |
      | journal and recovery (upstream checks fencing numbers, one request)      | outage tokens counted as kept                                        | tokens run stay within the grant             |
      | journal and recovery (upstream checks fencing numbers, one request)      | closed allotment cannot grow                                         | a closed allotment never grows               |
      | journal and recovery (upstream checks fencing numbers, one request)      | holder whose allotment is gone counts as closed                      | a closed allotment never grows               |
      | journal and recovery (upstream ignores fencing numbers, one request)     | unknown request settled only when it cannot arrive any more          | answered requests are billed in the end      |
      | journal and recovery (upstream ignores fencing numbers)                  | requests of a vanished VM have arrived before its absence is a proof | tokens run stay within the grant             |
      | journal and recovery (upstream ignores fencing numbers, one request)     | recovered bills durable before the incarnation is forgotten          | answered requests are billed in the end      |
      | journal and recovery (upstream ignores fencing numbers, one request)     | bills keyed by request id                                            | one bill for a request                       |
      | journal and recovery (holder without an allotment at first, one request) | recovery repeated while a closed incarnation holds tokens            | no tokens stay with a closed incarnation     |
      | inquiry at an upstream                                                   | upstream asked about one attempt, not one request                    | freed tokens cannot be run by a late attempt |

    Examples: copies at peers
      | model                              | guard                                                  | promise                                  |
      | copies at peers (one registration) | copy held before dispatch on outage tokens             | what ran on freed outage tokens is known |
      | copies at peers (one registration) | copy left out only while no holder was ever registered | what ran on freed outage tokens is known |
      | copies at peers                    | registration with a lost answer written again          | what ran on freed outage tokens is known |
      | copies at peers                    | holders changed only while every entry is durable      | what ran on freed outage tokens is known |
      | copies at peers (one registration) | copies dropped only below a durable position           | what ran on freed outage tokens is known |
      | copies at peers (one registration) | copy addressed to the registered incarnation           | what ran on freed outage tokens is known |
      | copies at peers (one registration) | only the registered incarnation answers for its copies | what ran on freed outage tokens is known |
      | copies at peers (one registration) | holder takes no copies once it was asked               | what ran on freed outage tokens is known |
      | copies at peers (one registration) | every registered holder asked                          | what ran on freed outage tokens is known |

    Examples: non-idempotent requests
      | model                                          | guard                                             | promise                                    |
      | non-idempotent request (home journals)         | only the home runs a request                      | a non-idempotent request runs at most once |
      | non-idempotent request (home journals)         | home knows the requests it has accepted           | a non-idempotent request runs at most once |
      | non-idempotent request (home journals)         | expired ticket starts nothing                     | a non-idempotent request runs at most once |
      | non-idempotent request (home journals)         | home keeps its refusals                           | what was told as not run never runs        |
      | non-idempotent request (home journals)         | Begin committed before dispatch                   | what was told as not run never runs        |
      | non-idempotent request (home journals)         | closing slot ends the journal                     | what was told as not run never runs        |
      | non-idempotent request (home journals)         | journal closed before another router says not run | what was told as not run never runs        |
      | non-idempotent request (home does not journal) | ticket tells whether its home journals            | what was told as not run never runs        |
