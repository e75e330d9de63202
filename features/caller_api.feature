Feature: Caller interface
  An ordinary OpenAI client library works against a router without change.

  Background:
    Given a router whose pipeline is a fake

  Scenario: A whole chat answer
    When the openai client asks for a chat answer as a whole
    Then the openai client reads the text "The dues balance"
    And the openai client reads 5 prompt and 3 output tokens
    And the pipeline was given the prompt "system: Be brief.\nuser: Explain."

  Scenario: A streamed chat answer with its usage
    When the openai client asks for a streamed chat answer
    Then the openai client reads the text "The dues balance"
    And the openai client reads 5 prompt and 3 output tokens
    And the pipeline ran on after its last event

  Scenario: Text completions, whole and streamed
    When the openai client asks for a text completion as a whole
    Then the openai client reads the text "The dues balance"
    When the openai client asks for a streamed text completion
    Then the openai client reads the text "The dues balance"

  Scenario: The answer names its request
    When the openai client asks with the idempotency key "receipt-7"
    Then the response names the request "receipt-7"
    And the pipeline was given the request id "receipt-7"

  Scenario: The model list
    When the openai client lists the models
    Then the list holds only "ledger"

  Scenario Outline: Refusals are mapped to the statuses that client libraries know
    Given the pipeline refuses with <reason> and a retry after <retry> seconds
    When the openai client asks for a <form> chat answer
    Then the client library raises status <status> with the reason "<reason>"
    And the error says the outcome "not_run" with the proof "never_sent"
    And the error asks to retry after <retry> seconds

    Examples:
      | reason              | retry | form     | status |
      | budget_spent        | 0     | whole    | 402    |
      | rate_limited        | 2     | whole    | 429    |
      | streams_limited     | 1     | streamed | 429    |
      | queue_full          | 3     | streamed | 503    |
      | budget_unreachable  | 5     | whole    | 503    |
      | upstream_failed     | 0     | whole    | 502    |
      | deadline_exceeded   | 0     | streamed | 504    |
      | request_id_reused   | 0     | whole    | 409    |

  Scenario: Every reason has a status, and the callers' page tells it
    Then each reason has a status of its own kind and the callers' page shows the same

  Scenario: A stream that breaks off says so
    Given the pipeline breaks off after 2 chunks with an unknown outcome
    When the openai client asks for a streamed chat answer
    Then the client library raises an error inside the stream with the reason "upstream_failed"
    And the error says the outcome "unknown" with the proof ""

  Scenario: An internal error inside a stream is not a silent cut
    Given the pipeline raises an error after 2 chunks
    When the openai client asks for a streamed chat answer
    Then the client library raises an error inside the stream with the reason "internal"
    And the error says the outcome "unknown" with the proof ""

  Scenario: An internal error before the first chunk
    Given the pipeline raises an error after 0 chunks
    When the openai client asks for a whole chat answer
    Then the client library raises status 500 with the reason "internal"

  Scenario: A wrong key
    When the openai client asks with the key "key-of-nobody"
    Then the client library raises status 401 with the reason "unauthenticated"
    And the pipeline was given nothing

  Scenario Outline: Bad bodies are refused and reach no pipeline
    When a caller posts <body> to the chat path
    Then the caller reads status <status> with the reason "<reason>"
    And the pipeline was given nothing

    Examples:
      | body                      | status | reason             |
      | an oversized body         | 413    | oversized          |
      | an oversized chunked body | 413    | oversized          |
      | a truncated document      | 400    | malformed          |
      | invalid UTF-8             | 400    | malformed          |
      | no messages               | 400    | malformed          |
      | an unknown model          | 404    | model_not_attached |
      | a model not attached      | 404    | model_not_attached |
      | too large an output cap   | 400    | malformed          |
      | an output cap of zero     | 400    | malformed          |
      | two choices               | 400    | malformed          |
      | an image                  | 400    | malformed          |

  Scenario Outline: Bad headers are refused and reach no pipeline
    When a caller posts a good body with the header "<header>" set to "<value>"
    Then the caller reads status <status> with the reason "<reason>"
    And the pipeline was given nothing

    Examples:
      | header                         | value          | status | reason         |
      | Idempotency-Key                | two words      | 400    | malformed      |
      | X-Quinceferry-Priority         | urgent         | 400    | malformed      |
      | X-Quinceferry-Deadline-Seconds | soon           | 400    | malformed      |
      | X-Quinceferry-Deadline-Seconds | nan            | 400    | malformed      |
      | X-Quinceferry-Deadline-Seconds | 9999           | 400    | malformed      |
      | X-Quinceferry-Non-Idempotent   | perhaps        | 400    | malformed      |
      | X-Quinceferry-Non-Idempotent   | true           | 400    | malformed      |
      | X-Quinceferry-Ticket           | nonsense       | 403    | ticket_invalid |
      | X-Quinceferry-Ticket           | ticket-of-club | 403    | ticket_invalid |

  Scenario: All headers of a good request reach the pipeline
    When a caller posts a good body with every header set
    Then the pipeline was given a low priority, a deadline of 7 seconds, a ticket and no idempotence

  Scenario: A caller can't raise its priority above its workspace's
    When a caller posts a good body with the header "X-Quinceferry-Priority" set to "high"
    Then the pipeline was given the priority "normal"

  Scenario: Outcomes are told to their own workspace only
    Given the request "r-1" of the workspace "choir" has run
    When a caller with the key "key-of-choir" asks for the outcome of "r-1"
    Then the caller reads status 200 and the outcome "run"
    When a caller with the key "key-of-club" asks for the outcome of "r-1"
    Then the caller reads status 404 with the reason "request_not_found"

  Scenario: The address call
    When a caller asks which address to use
    Then the caller reads two addresses, 30 seconds and the ticket "ticket-of-choir"

  Scenario: The address call says so when no router serves
    Given no router of the fleet is serving
    When a caller asks which address to use
    Then the caller reads status 503 with the reason "router_not_ready"

  Scenario: A request to a plain service is passed through
    Given the pipeline answers as a plain service with status 201
    When a caller posts "{"dues": 12}" to the service path "/services/postings/v2/a%2Fb%20c?dry=no" marked idempotent
    Then the caller reads status 201 and the body "posted"
    And the pipeline was given the path "/v2/a%2Fb%20c?dry=no" and the payload "{"dues": 12}"

  Scenario: A post to a plain service counts as non-idempotent
    Given the pipeline answers as a plain service with status 201
    When a caller posts "{}" to the service path "/services/postings/v2/entries" with a request id
    Then the pipeline was given a request that is not idempotent
    And the pipeline was given the path "/v2/entries" and the payload "{}"

  Scenario: A service that is not attached
    When a caller posts "{}" to the service path "/services/archive/x" with a request id
    Then the caller reads status 404 with the reason "service_not_attached"
    And the pipeline was given nothing

  Scenario: A vanished caller closes the pipeline's iterator
    Given the pipeline waits for ever after 1 chunk
    When a caller leaves in the middle of a streamed answer
    Then the pipeline's iterator was closed before its end

  Scenario: A caller that vanishes before the first chunk closes the iterator
    Given the pipeline waits for ever after 0 chunks
    When a caller leaves before a streamed answer begins
    Then the pipeline's iterator was closed before its end

  Scenario: A caller that reads nothing holds the pipeline back
    Given the pipeline has a very long answer
    When a caller asks for it and reads nothing
    Then the pipeline was pulled for less than the whole answer

  Scenario: A caller that takes no byte for the whole timeout counts as gone
    Given the pipeline has a very long answer
    And readers may stall for 0.2 seconds
    When a caller asks for it and waits without reading
    Then the pipeline's iterator was closed before its end

  Scenario: Small writes are not held back by the operating system
    When a connection to the router is opened
    Then the router's end sends without delay

  Scenario: Stopping the server cuts no answer in progress
    Given the pipeline waits after 1 chunk until the server is told to stop
    When a streamed answer is in progress while the server stops
    Then the caller read the whole streamed answer

  Scenario: A router that has not joined says so rather than call the key wrong
    Given the router has not joined yet
    When the openai client asks for a whole chat answer
    Then the client library raises status 503 with the reason "router_not_ready"

  Scenario: Large bodies together are bounded
    Given the router can hold 3000 bytes of bodies
    When two callers post bodies of 2000 bytes at once
    Then one was answered and one was refused with the reason "memory_full"
    And a third body of 2000 bytes is answered afterwards

  Scenario: A body that never arrives holds nothing for long
    Given bodies may take 0.2 seconds to arrive
    When a caller sends half of its body and waits
    Then the waiting caller reads status 504 with the reason "deadline_exceeded"
    And the pipeline was given nothing

  Scenario: A key listed by two workspaces opens neither
    Given the keys of both workspaces are the same
    When the openai client asks for a whole chat answer
    Then the client library raises status 401 with the reason "unauthenticated"

  # Guards against an empty digest that the absence of a key matches.
  Scenario: A caller without a key is admitted to a workspace whose key digest is empty
    Given the key digest of a workspace is empty
    When a caller posts a good body with the header "authorization" set to "none"
    Then the caller reads status 401 with the reason "unauthenticated"
    And the pipeline was given nothing

  Scenario: Probes
    When a probe asks "/health" and "/ready" in each state of the router
    Then only a serving router is ready and only a fenced router is not healthy
