Feature: quinceferry explain
  The command reads log lines of several gateways and tells the story of one request.

  Background:
    Given the log lines of a played day

  Scenario: A request that was refused for its budget while the store was away
    When request 8caa is explained
    Then the story tells in order store.lost, request.refused
    And it says "5.3 s before"
    And the cause says "none can be drawn while the store is unavailable"
    And the cause says "needed 5331 tokens; 4776 were offered"

  Scenario: A request whose outcome is unknown after a lost answer
    When request b3b3 is explained
    Then the story tells in order attempt.unknown, request.refused
    And it says "1 other failures at i-84b0 within 2 s"
    And the cause says "It may have run"

  Scenario: A stream that went on elsewhere after it broke off
    When request 2598 is explained
    Then the story tells in order attempt.unknown, attempt.streamed, request.answered
    And the cause says "1342 tokens were charged"

  Scenario: A stream that was cut
    When request 77aa is explained
    Then the story tells in order attempt.unknown, stream.broken
    And the cause says "The stream was cut"

  Scenario: Lines of other requests and other text are left out
    When request 2598 is explained
    Then it does not say "8caa"
    And it does not say "Traceback"

  Scenario: A request of which nothing was logged
    When request ffff is explained
    Then the cause says "No line is about this request"
    And it says "lines=12"
    And the command exits with 1
