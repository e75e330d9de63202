Feature: Calls to upstreams over HTTP
  The HTTP client and the in-process connections behave alike, and each error tells what is known
  of the run.

  Scenario Outline: The same calls over both connections
    Given stand-in upstreams reached <wire>
    Then over that wire a run returns the expected answer, its use and one record
    And over that wire a dropped stream is resumed with exactly the missing tokens
    And over that wire a refused and an unknown request raise their errors
    And over that wire a cancelled run reports its use
    And over that wire an old order is refused and the load report shows the models
    And over that wire each service call is executed once and its reply returned

    Examples:
      | wire       |
      | in process |
      | over HTTP  |

  Scenario: Nobody listens
    When a request goes to a port where nobody listens
    Then the HTTP client raises UpstreamNotSentError

  Scenario Outline: What a server does decides the error
    When a server answers a run with <answer> and closes the connection
    Then the HTTP client raises <error>

    Examples:
      | answer                  | error                |
      | nothing                 | UpstreamLostError    |
      | half a head             | UpstreamLostError    |
      | no HTTP                 | UpstreamLostError    |
      | status 500              | UpstreamLostError    |
      | status 429              | UpstreamRefusedError |
      | a stream cut short      | UpstreamLostError    |
      | a stream without usage  | UpstreamLostError    |
      | a stream without its end | UpstreamLostError   |
      | a malformed message     | UpstreamLostError    |
      | a whole stream          | no error             |

  Scenario: A resume that the server does not know
    When a server answers a resume with status 404 and closes the connection
    Then the HTTP client raises UpstreamUnknownRequestError

  Scenario: Closing a stream drops its connection
    When a stream over HTTP is closed while the server is silent
    Then the server sees the connection end

  Scenario: Runs share a connection unless they must not be repeated
    When 2 idempotent runs, then 2 non-idempotent runs go to a server that keeps connections
    Then the server has seen 3 connections

  Scenario: A stream cut at any byte reads alike
    When the bytes of a stream are fed to the reader in every way of cutting them in two
    Then each way gives the same text, tokens and end

  Scenario: Disordered messages stay apart
    When a stream with a doubled and a missing piece is fed to the reader at once
    Then the reader returns the pieces with their own offsets

  Scenario: The router's output cap replaces the caller's
    When a run over HTTP asks for more tokens than the router allows
    Then the engine over HTTP generates only what the router allows

  Scenario Outline: However a service frames its answer, it is passed on
    When a service answers a <method> with <framing> and closes the connection
    Then the service answer is status <status> with body "<body>"

    Examples:
      | method | framing                 | status | body |
      | GET    | a length                | 200    | äb   |
      | GET    | pieces                  | 200    | äb   |
      | GET    | no length               | 200    | äb   |
      | GET    | an interim answer first | 200    | äb   |
      | HEAD   | a length and no body    | 200    |      |
      | POST   | its own status 503      | 503    | äb   |

  Scenario: A slow reader stops the socket from being read
    When more bytes arrive than a connection may hold
    Then the connection stops reading until its reader has taken them
