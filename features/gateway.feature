Feature: A gateway on the users' platform
  Requests of callers reach upstreams, and answers reach callers, through what the platform speaks.

  Scenario: A request arrives unchanged, without its key
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When 1 request after another is posted to /post/a?b=c
    Then the caller gets the answer of upstream app-1 unchanged
    And the upstream sees the request without its key, and for choir

  Scenario Outline: Callers do not choose what only the gateway may set
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a request carries header <name> "7"
    Then the upstream never sees header <name>

    Examples:
      | name                    |
      | x-quinceferry-kv-hold   |
      | x-quinceferry-pin-ms    |
      | x-quinceferry-kv-backup |
      | kv-from                 |
      | kv-fetch                |

  Scenario Outline: Requests that can't be served are refused with the reason
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a request carries header <name> "<value>"
    Then the gateway answers <status>
    And 0 requests reached an upstream

    Examples:
      | name                       | value       | status |
      | x-quinceferry-credential   | unknown     | 401    |
      | host                       | other       | 404    |
      | x-quinceferry-deadline-ms  | soon        | 400    |
      | x-quinceferry-deadline-ms  | -5          | 400    |
      | x-quinceferry-token-count  | 12          | 400    |
      | x-quinceferry-token-count  | a,b         | 400    |
      | x-quinceferry-prompt-prefix| abc         | 400    |

  Scenario: A request without an identifier is refused
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a request lacks header x-quinceferry-request-id
    Then the gateway answers 400

  Scenario: A body over the limit is refused
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When a request has a body of 5001 bytes
    Then the gateway answers 413
    And 0 requests reached an upstream

  Scenario: Without a configuration nothing is denied for good
    Given a gateway without a configuration
    When 1 request after another reads /get/a
    Then the gateway answers 503
    And is told when to come back

  Scenario: A request that may not run twice does not, when its connection breaks
    Given a gateway before the services
    And upstream app-1 of service app that "breaks the connection"
    And upstream app-2 of service app that "breaks the connection"
    When 1 request after another is posted to /post/a
    Then the gateway answers 502
    And 1 request reached an upstream

  Scenario: A request that may not run twice goes on after an upstream declined it
    Given a gateway before the services
    And upstream app-1 of service app that "declines, then answers"
    And upstream app-2 of service app that "declines, then answers"
    When 2 requests after another are posted to /post/a
    Then the gateway answers in turn 503, 200
    And 3 requests reached an upstream

  Scenario: A declined request is told when to come back
    Given a gateway before the services
    And upstream app-1 of service app that "declines"
    When 1 request after another is posted to /post/a
    Then the gateway answers 503
    And is told when to come back

  Scenario Outline: An idempotent request is tried elsewhere
    Given a gateway before the services
    And upstream app-1 of service app that "<fault>, then answers"
    And upstream app-2 of service app that "<fault>, then answers"
    When 2 requests after another read /get/a
    Then the gateway answers in turn <statuses>

    Examples:
      | fault                       | statuses |
      | breaks the connection       | 502, 200 |
      | breaks its body off         | 502, 200 |
      | answers for another request | 502, 200 |
      | answers without its mark    | 502, 200 |
      | fails                       | 500, 200 |

  Scenario: An idempotent request goes on elsewhere when its upstream never answers
    Given a gateway before the services
    And upstream app-1 of service app that "never answers"
    And upstream app-2 of service app that "answers"
    When upstream app-2 is in another availability zone
    And 1 request after another reads /get/a
    Then the gateway answers 200
    And 2 requests reached an upstream

  Scenario: A resumable stream goes on elsewhere when its first event does not come
    Given a gateway before the services
    And two upstreams of service llm: the first choice "never answers", the other "streams 5 events"
    When a stream of /draft/a is asked for
    Then the caller gets events 1 to 5, each once, from its first upstream
    And 2 requests reached an upstream

  Scenario: A request that may not run twice waits for its upstream
    Given a gateway before the services
    And upstream app-1 of service app that "answers late"
    And upstream app-2 of service app that "answers"
    When upstream app-2 is in another availability zone
    And 1 request after another is posted to /post/a
    Then the caller gets the answer of upstream app-1 unchanged
    And 1 request reached an upstream

  Scenario: An idempotent request waits for the only upstream
    Given a gateway before the services
    And upstream app-1 of service app that "answers late"
    When 1 request after another reads /get/a
    Then the caller gets the answer of upstream app-1 unchanged
    And 1 request reached an upstream

  Scenario: An upstream whose address nobody serves is passed over
    Given a gateway before the services
    And upstream app-1 of service app that is gone without a word
    And upstream app-2 of service app that "answers"
    When 3 requests after another are posted to /post/a
    Then the gateway answers in turn 200, 200, 200
    And 3 requests reached an upstream

  Scenario: An answer without a length is whole when its connection ends in order
    Given a gateway before the services
    And upstream app-1 of service app that "answers without a length"
    When 1 request after another is posted to /post/a
    Then the caller gets the answer of upstream app-1 unchanged

  Scenario: At the time limit of the route the caller gets its answer
    Given a gateway before the services
    And upstream app-1 of service app that "never answers"
    When 1 request after another reads /get/short/a
    Then the gateway answers 504

  Scenario: A leaving upstream gets no work
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When upstream app-1 begins to leave
    And 1 request after another is posted to /post/a
    Then the gateway answers 503
    And 0 requests reached an upstream

  Scenario Outline: A resumable stream goes on at another upstream
    Given a gateway before the services
    And upstream llm-1 of service llm that "<fault>, then streams 5 events"
    And upstream llm-2 of service llm that "streams 5 events"
    When a stream of /draft/a is asked for
    And a stream of /draft/a is asked for
    Then the caller gets events 1 to 5, each once, from its first upstream

    Examples:
      | fault                       |
      | breaks after 2 events       |
      | breaks within event 3       |
      | falls silent after 2 events |

  Scenario: A stream that may not be resumed breaks, and does not look complete
    Given a gateway before the services
    And upstream llm-1 of service llm that "breaks within event 3"
    And upstream llm-2 of service llm that "breaks within event 3"
    When a stream of /ask/a is asked for
    Then the caller sees events 1 to 2 and then a broken connection
    And 1 request reached an upstream

  Scenario: A caller that leaves takes its run along
    Given a gateway before the services
    And upstream llm-1 of service llm that "streams slowly"
    When a caller leaves during a stream
    Then the upstream's connection is closed soon

  Scenario: A stream is charged for its prompt and the events that were passed on
    Given a gateway before the services
    And upstream llm-1 of service llm that "streams 5 events"
    When a stream of /draft/a is asked for
    Then the workspace is charged 120 tokens

  Scenario: A broken stream is charged for what was passed on
    Given a gateway before the services
    And upstream llm-1 of service llm that "breaks within event 3"
    When a stream of /ask/a is asked for
    Then the workspace is charged 108 tokens

  Scenario Outline: A whole answer of an engine is charged its prompt only
    Given a gateway before the services
    And upstream llm-1 of service llm that "<behaviour>"
    When a <kind> route to service llm is asked for a whole answer
    Then the workspace is charged <tokens> tokens

    Examples:
      | kind   | behaviour             | tokens |
      | safe   | answers               | 140    |
      | unsafe | answers               | 140    |
      | unsafe | breaks the connection | 140    |
      | unsafe | declines              | 0      |

  Scenario: A declined stream is charged nothing
    Given a gateway before the services
    And upstream llm-1 of service llm that "declines"
    When a stream of /ask/a is asked for
    Then the workspace is charged 0 tokens

  Scenario: A request that the budget does not cover is refused before it runs
    Given 1 gateway before the services with 120 prepaid tokens
    And upstream llm-1 of service llm that "streams 5 events"
    When a stream of /draft/a is asked for
    Then the gateway answers 402
    And 0 requests reached an upstream

  Scenario: A large request takes its tokens from several gateways
    Given 3 gateways before the services with 1200 prepaid tokens
    And upstream llm-1 of service llm that "streams 5 events"
    When gateway 1 knows that all hold 198 tokens
    And the store goes silent
    And 5 seconds pass at the gateway
    And gateway 1 is asked to stream /draft/a for at most 500 tokens
    Then the gateway answers 200

  Scenario: A caller is told to come back while tokens are set aside for running requests
    Given 2 gateways before the services with 3000 prepaid tokens
    And upstream llm-1 of service llm that "streams slowly"
    When gateway 1 knows that all hold 742 tokens
    And gateway 1 begins to stream /draft/a for at most 1400 tokens
    And 2 seconds pass at the gateway
    And gateway 2 is asked meanwhile to stream /draft/a for at most 2000 tokens
    Then the second caller is answered 429

  Scenario Outline: A caller of a small request gets tokens that are kept from a larger one
    Given 1 gateway before the services with 100000 prepaid tokens
    And upstream llm-1 of service llm that "streams slowly"
    When gateway 1 knows that all hold 49500 tokens
    And gateway 1 begins to stream /draft/a for at most 97000 tokens
    And 6 seconds pass at the gateway
    And gateway 1 is asked meanwhile to stream /draft/a for at most <tokens> tokens
    Then the second caller is answered <status>

    Examples:
      | tokens | status |
      | 300    | 200    |
      | 1000   | 429    |
      | 9000   | 402    |

  Scenario: Tokens are counted by whether their requests were answered
    Given 1 gateway before the services with 3000 prepaid tokens
    And upstream llm-1 of service llm that "streams 5 events"
    When gateway 1 knows that all hold 1485 tokens
    And gateway 1 is asked to stream /draft/a for at most 500 tokens
    Then the gateway answers 200
    And the metrics charge 500 tokens as answered

  Scenario: While the store is away, a caller is told to come back for tokens
    Given 2 gateways before the services with 3000 prepaid tokens
    And upstream llm-1 of service llm that "streams slowly"
    When gateway 1 knows that all hold 742 tokens
    And gateway 1 begins to stream /draft/a for at most 1400 tokens
    And 2 seconds pass at the gateway
    And the store goes silent
    And gateway 2 is asked meanwhile to stream /draft/a for at most 1500 tokens
    Then the second caller is answered 429

  Scenario: While the store answers late, a caller is told to come back for tokens
    Given 2 gateways before the services with 3000 prepaid tokens
    And upstream llm-1 of service llm that "streams 5 events"
    When gateway 1 knows that all hold 742 tokens
    And the store answers 0.4 seconds late
    And gateway 1 is asked to stream /draft/a for at most 1600 tokens
    Then the gateway answers 429
    And is told when to come back
    And 0 requests reached an upstream

  Scenario Outline: An event without end is read until the caller's time is up
    Given 1 gateway before the services with 3000 prepaid tokens
    And upstream llm-1 of service llm that "<sends>"
    When gateway 1 knows that all hold 1485 tokens
    And gateway 1 is asked to stream /draft/a for at most 500 tokens
    Then the gateway answers 502
    And the answer took less than 3 seconds

    Examples:
      | sends                             |
      | sends an event without end        |
      | sends an event without end slowly |

  Scenario: While the store is away, what is held is spent and no more
    Given 1 gateway before the services with 1000 prepaid tokens
    And upstream llm-1 of service llm that "streams 5 events"
    When gateway 1 knows that all hold 495 tokens
    And the store goes silent
    And 5 seconds pass at the gateway
    And gateway 1 is asked to stream /draft/a for at most 400 tokens
    And gateway 1 is asked to stream /draft/a for at most 400 tokens
    Then the gateway answers in turn 200, 429
    And is told when to come back

  Scenario: An older version of the configuration changes nothing
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 0 without routes
    And 1 request after another is posted to /post/a
    Then the gateway answers 200

  Scenario: A newer version of the configuration is in force
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators publish version 2 without routes
    And 1 request after another is posted to /post/a
    Then the gateway answers 404

  # Guards against prepaid tokens that a caller uses for nothing by leaving out how many it needs.
  Scenario Outline: A request that states no token counts is served without any tokens
    Given 1 gateway before the services with 400 prepaid tokens
    And upstream llm-1 of service llm that "streams 5 events"
    And upstream app-1 of service app that "answers"
    When <target> is asked for without token counts
    Then the gateway answers <status>
    And <runs> requests reached an upstream

    Examples:
      | target   | status | runs |
      | /draft/a | 400    | 0    |
      | /ask/a   | 400    | 0    |
      | /post/a  | 200    | 1    |

  Scenario: A configuration that can't be read leaves the last good one in force
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators' document becomes "not json"
    And 1 request after another is posted to /post/a
    Then the gateway answers 200

  Scenario: A planned stop cuts nothing and returns the tokens
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams 5 events"
    When the gateway is told to stop during a stream
    Then it is no longer ready nor named, serves on, and ends the stream whole
    And after the stop the record holds 120 spent tokens and no allotment

  Scenario: Each gateway is registered under a lease
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    Then the store holds a registration with a lease

  Scenario: A gateway without a configuration is named to no caller
    Given a gateway without a configuration
    When 1.5 seconds pass at the gateway
    Then the store holds no registration, and callers are told no address

  Scenario: Outcomes are counted on the metrics address
    Given a gateway before the services
    And upstream app-1 of service app that "declines"
    When 1 request after another is posted to /post/a
    Then the metrics count 1 request with outcome upstreams_refused
