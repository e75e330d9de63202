Feature: Injected faults between a router and its upstreams
  Each fault that tests inject is visible as the error or disorder that it stands for, and the
  engine's own records tell what really ran.

  Scenario Outline: A fault of one connection
    Given an in-process connection to a stand-in engine
    When a request for 6 tokens is sent on a connection with the fault <fault>
    Then its chunk offsets are "<offsets>" and it ends with <ending>
    And the faulty request ran <runs> times

    Examples:
      | fault           | offsets       | ending               | runs |
      | none            | 0,1,2,3,4,5   | Finished             | 1    |
      | refused         |               | UpstreamNotSentError | 0    |
      | request lost    |               | UpstreamLostError    | 0    |
      | broken at 0     |               | UpstreamLostError    | 1    |
      | broken at 2     | 0,1           | UpstreamLostError    | 1    |
      | silent at 2     | 0,1           | silence              | 1    |
      | doubled chunk 1 | 0,1,1,2,3,4,5 | Finished             | 1    |
      | swapped chunk 1 | 0,2,1,3,4,5   | Finished             | 1    |

  Scenario: A stalled connection delivers late, beside the one that resumed the stream
    Given an in-process connection to a stand-in engine
    When a connection stalls for 30 seconds and the stream is resumed on a new one
    Then the new connection delivers the rest at once
    And the old connection delivers the same rest 30 seconds later

  Scenario: Open streams go silent while new connections work
    Given an in-process connection to a stand-in engine
    When all open streams are made silent
    Then a silenced stream delivers nothing more
    And a stream resumed on a new connection delivers the rest

  Scenario: A partition between one router and one engine
    Given an in-process connection to a stand-in engine
    When one of two routers is cut off from the engine for 20 seconds while it reads a stream
    Then its new requests raise UpstreamNotSentError
    And its open stream is delivered whole only after the partition
    And the other router is served during the partition

  Scenario: Latency delays each event without slowing the stream
    Given an in-process connection to a stand-in engine
    When a request runs without latency and with 0.5 seconds of latency each way
    Then the second answer takes 1 second longer than the first

  Scenario Outline: The answer to an order is lost
    Given an in-process connection to a stand-in engine
    When an order is given on a connection with the fault <fault>
    Then the order raises <error> and the engine received <orders> orders

    Examples:
      | fault        | error                | orders |
      | refused      | UpstreamNotSentError | 0      |
      | request lost | UpstreamLostError    | 0      |
      | answer lost  | UpstreamLostError    | 1      |
