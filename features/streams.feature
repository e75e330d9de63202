Feature: Streams from upstreams
  Whatever happens to connections and upstreams, a caller receives the whole answer to its own
  request once and in order, or a truthful failure.

  Scenario: A connection goes silent in mid-answer
    Given a router with 2 stand-in engines
    And the next upstream connection goes silent after 3 chunks
    When a caller streams an answer of 40 tokens
    Then the caller has the whole answer
    And the answer was resumed 1 time
    And the engines ran the request 1 time

  Scenario: A connection goes silent before the first chunk of a non-idempotent request
    Given a router with 2 stand-in engines
    And the next upstream connection goes silent after 0 chunks
    When a caller streams a non-idempotent answer of 40 tokens
    Then the caller has the whole answer
    And the engines ran the request 1 time

  Scenario: A connection breaks in mid-answer of a non-idempotent request
    Given a router with 2 stand-in engines
    And the next upstream connection breaks after 5 chunks
    When a caller streams a non-idempotent answer of 40 tokens
    Then the caller has the whole answer
    And the engines ran the request 1 time

  Scenario: Late events of a dropped connection reach nobody
    Given a router with 2 stand-in engines
    And the next upstream connection stalls after 2 chunks for 15 seconds
    When a caller streams an answer of 40 tokens
    Then the caller has the whole answer
    And no event of connection 1 was read after connection 2 began

  Scenario: A chunk arrives twice
    Given a router with 1 stand-in engine
    And the next upstream connection delivers chunk 4 twice
    When a caller streams an answer of 40 tokens
    Then the caller has the whole answer
    And 1 duplicate chunk was dropped

  Scenario: Chunks arrive in the wrong order
    Given a router with 1 stand-in engine
    And the next upstream connection swaps chunk 4 with the one after it
    When a caller streams an answer of 40 tokens
    Then the caller has the whole answer

  Scenario: A chunk is missing at the end of the answer
    Given a router whose only upstream omits chunk 2 on the first connection
    When a caller streams an answer of 5 tokens
    Then the caller has the whole answer
    And the answer was resumed 1 time

  Scenario: An engine dies in mid-answer and another gives the same text
    Given a router with 2 stand-in engines
    When a caller streams an answer of 40 tokens and the engine dies after 10
    Then the caller has the whole answer
    And the engines ran the request 2 times
    And the use of 1 attempt is unknown

  Scenario: An engine dies in mid-answer and another would give other text
    Given a router whose upstreams sample different texts
    When a caller streams an answer of 5 tokens and the first upstream dies after 2
    Then the caller has the first 2 tokens of the first text only
    And the answer failed with upstream_failed and the outcome is unknown

  Scenario: An engine dies in mid-answer of a non-idempotent request
    Given a router with 2 stand-in engines
    When a caller streams a non-idempotent answer of 40 tokens and the engine dies after 10
    Then the answer failed with upstream_failed and the outcome is unknown
    And the engines ran the request 1 time

  Scenario: A refused connection sends a non-idempotent request elsewhere
    Given a router with 2 stand-in engines
    And every engine refuses the next connection
    When a caller streams a non-idempotent answer of 40 tokens
    Then the caller has the whole answer
    And the engines ran the request 1 time

  Scenario: No upstream accepts the request
    Given a router with 2 stand-in engines
    And no engine accepts connections
    When a caller streams a non-idempotent answer of 40 tokens
    Then the answer failed and the outcome is not run, never sent

  Scenario: A lost non-idempotent request is never sent again
    Given a router with 2 stand-in engines
    And the next upstream connection loses the request
    When a caller streams a non-idempotent answer of 40 tokens
    Then the answer failed with upstream_failed and the outcome is unknown
    And the engines ran the request 0 times

  Scenario: A caller leaves in mid-answer
    Given a router with 1 stand-in engine
    When a caller streams an answer of 400 tokens and leaves after 10
    Then the engine has stopped the run
    And the tokens settled are those the engine generated

  Scenario: A caller leaves while the connection is silent
    Given a router with 1 stand-in engine
    And the next upstream connection goes silent after 3 chunks
    When a caller streams an answer of 400 tokens and leaves after 3
    Then the engine has stopped the run
    And the tokens settled are those the engine generated

  Scenario: A slow reader
    Given a router that holds at most 8 chunks for a reader
    When a caller reads one chunk a second of an answer of 60 tokens
    Then the caller has the whole answer
    And the router never held more than 9 chunks

  Scenario: A reader that stops reading
    Given a router that holds at most 8 chunks for a reader
    When a caller stops reading an answer of 4000 tokens for 100 seconds
    Then the answer failed with upstream_failed and the outcome is unknown
    And the engine has stopped the run
    And the tokens settled are those the engine generated

  Scenario: Nothing is sent when the dispatch hook refuses
    Given a router with 1 stand-in engine
    When the dispatch hook refuses a request
    Then the answer failed and the outcome is not run, never sent
    And the engines ran the request 0 times

  Scenario: Two workspaces use the same request identifier at once
    Given a router with 1 stand-in engine
    And each of the next 2 upstream connections breaks after 3 chunks
    When two workspaces stream answers under one identifier
    Then each has the whole answer to its own request

  Scenario Outline: Any faults together neither lose, double nor mix answers
    Given a router with 3 stand-in engines and connection faults drawn from seed <seed>
    When 30 callers stream answers at once, every third one non-idempotent
    Then every finished answer is whole and every failed one a prefix of it
    And at least 20 answers finished
    And no non-idempotent request ran twice

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A request that crashes its engines is run no more after the third
    Given a router with 8 stand-in engines
    And every engine crashes under the prompt "boom"
    When a caller sends the prompt "boom" 5 times, each with a new identifier
    Then 3 engines have crashed
    And the last request failed with quarantined and did not run
    And the prompt "hello" is answered

  Scenario: Prompts that begin alike crash engines one after the other
    Given a router with 12 stand-in engines
    And every engine crashes under prompts that begin with a fatal text
    When callers send 20 prompts that begin with it, all different, and others between them
    Then at most 5 engines have crashed
    And the last request failed with quarantined and did not run
    And the prompt "hello" is answered

  Scenario: Other routers refuse what one has found to crash engines
    Given a router with 8 stand-in engines
    And every engine crashes under the prompt "boom"
    When a caller sends the prompt "boom" 5 times, each with a new identifier
    And another router takes the heartbeat record of the first
    Then the other router refuses the prompt "boom" without running it
