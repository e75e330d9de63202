Feature: Clients of a gateway that stay outside the limits
  What a client costs is bounded before its request is complete and while it does not read. The memory of the
  machine and the number of descriptors are bounds of the target; no check depends on speed.

  Scenario Outline: Input without end uses up memory or never ends
    Given a gateway process on a machine of 150 MB
    When 16 clients send <what> without end to its address for <listener>
    Then each of the clients was cut off
    And the gateway process lives within its memory and answers ordinary requests

    Examples: callers
      | listener | what                        |
      | callers  | header lines                |
      | callers  | one header value            |
      | callers  | one header name             |
      | callers  | one target                  |
      | callers  | empty lines                 |
      | callers  | empty lines after a request |
      | callers  | trailer lines               |
      | callers  | one trailer value           |
      | callers  | one chunk extension         |
      | callers  | a body in small chunks      |

    Examples: others
      | listener  | what                   |
      | directory | header lines           |
      | directory | one header value       |
      | directory | empty lines            |
      | directory | trailer lines          |
      | directory | a body in small chunks |
      | readiness | header lines           |
      | readiness | empty lines            |
      | readiness | trailer lines          |
      | metrics   | header lines           |
      | metrics   | empty lines            |
      | metrics   | trailer lines          |
      | peers     | header lines           |
      | peers     | empty lines            |
      | peers     | trailer lines          |

  Scenario Outline: Requests sent ahead use up memory
    Given a gateway process on a machine of 150 MB
    When 16 clients send many <what> ahead to its address for <listener> and <read> the answers
    Then the gateway process lives within its memory and answers ordinary requests

    Examples:
      | listener  | what                     | read       |
      | callers   | requests without headers | don't read |
      | callers   | requests without headers | read       |
      | callers   | requests with headers    | don't read |
      | callers   | requests with headers    | read       |
      | directory | requests without headers | don't read |
      | directory | requests without headers | read       |
      | readiness | requests without headers | don't read |
      | metrics   | requests without headers | don't read |
      | peers     | requests without headers | don't read |

  Scenario: A client leaves whose requests ahead are not read
    Given a gateway process on a machine of 150 MB
    When a client sends many requests with headers ahead and leaves
    Then the request of that client that runs is given up on

  Scenario Outline: Unfinished requests hold all connections of a listener
    Given a gateway process on a machine of 150 MB
    And the gateway process may have 400 descriptors open
    When <count> clients send <what> to its address for <listener> and wait
    Then the gateway process lives within its memory and answers ordinary requests

    Examples:
      | listener  | count | what                     |
      | callers   | 200   | half a head              |
      | callers   | 200   | half a body              |
      | callers   | 200   | nothing                  |
      | directory | 60    | half a head              |
      | readiness | 20    | half a head              |
      | metrics   | 20    | half a head              |
      | peers     | 60    | half a head              |
      | metrics   | 20    | requests without headers |

  Scenario: Bodies inside the limits use up memory together
    Given a gateway process on a machine of 150 MB
    When 64 clients send a body that lacks its last byte to its address for callers and wait
    Then the gateway process lives within its memory and answers ordinary requests

  Scenario: Requests that have no room are refused as not run
    Given a gateway process on a machine of 50 MB
    When 16 clients send a body of 1 MB each at once
    Then each of them is answered with 200 or 503, and upstreams have seen the former

  Scenario: A body of the largest size on a small machine
    Given a gateway process on a machine of 88 MB
    When a client inside the limits sends a body of exactly the limit
    Then it is answered with 200
    And the gateway process has lived within its memory

  Scenario: Streams that nobody reads
    Given a gateway process on a machine of 150 MB
    When 32 clients ask for streams and read nothing
    Then the gateway process lives within its memory and answers ordinary requests

  Scenario: Clients that never read hold all connections of a listener
    Given a gateway process on a machine of 150 MB
    And the gateway process may have 400 descriptors open
    And a client may leave an answer unread for 2 seconds
    When 20 clients send requests for metrics to its address for metrics and wait
    Then the gateway process lives within its memory and answers ordinary requests

  Scenario Outline: A refusal reaches the client and tells that nothing has run
    Given a gateway process on a machine of 150 MB
    And a body may take 2 seconds to arrive
    When a client outside the limits sends <what>
    Then it is refused with <status> and no upstream has seen its request

    Examples:
      | what                     | status |
      | half a head              | 408    |
      | half a body              | 408    |
      | a large head             | 431    |
      | a large target           | 414    |
      | many empty lines         | 400    |
      | many trailers            | 431    |
      | no request               | 400    |
      | half a head after a head | 408    |

  Scenario Outline: A client inside the limits is served
    Given a gateway process on a machine of 150 MB
    When a client inside the limits sends <what>
    Then it is answered with <status>

    Examples:
      | what                                    | status           |
      | a head of exactly the limit             | 200              |
      | a head of short lines up to the limit   | 200              |
      | a head above the limit                  | 431              |
      | a body of exactly the limit             | 200              |
      | a body above the limit                  | 413              |
      | a body in small chunks                  | 200              |
      | trailers                                | 200              |
      | an empty line before the request        | 200              |
      | a head that takes 1.5 seconds           | 200              |
      | Expect: 100-continue                    | 100 and 200      |
      | four requests ahead                     | 200, four times  |
