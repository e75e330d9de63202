Feature: Checker of histories
  The checker judges what was recorded at the edge against every promise.

  Background:
    Given a history in which one request was asked, run, answered and billed

  Scenario: A history without fault is accepted
    Then the checker finds nothing

  Scenario Outline: A broken promise is found
    When the history changes so that <change>
    Then the checker finds that "<promise>" was broken

    Examples:
      | change                                                  | promise                           |
      | the upstream used more than was granted                 | spend within budget               |
      | the upstream used more than was granted for a while     | spend within budget               |
      | the bills exceed what was granted                       | spend within budget               |
      | the budget calls used tokens free                       | spend within budget               |
      | a top-up was granted twice                              | spend within budget               |
      | the request has no bill                                 | billed exactly once               |
      | the request has two bills                               | billed exactly once               |
      | there is a bill for a request that never ran            | billed exactly once               |
      | the bill is not what the run used                       | billed exactly once               |
      | the answer lacks its last byte                          | whole answer to the own request   |
      | the answer has a byte twice                             | whole answer to the own request   |
      | the answer is that of another request                   | whole answer to the own request   |
      | a part of a broken answer is foreign                    | whole answer to the own request   |
      | the caller was told not run                             | not run means not run             |
      | the caller was told not run and it ran later            | not run means not run             |
      | the non-idempotent request ran twice                    | non-idempotent runs at most once  |
      | the upstream had announced its leaving 6 seconds before | leaving upstream gets no new work |
      | a planned stop broke the connection                     | graceful stop cuts nothing        |
      | a planned stop ended it with an unknown outcome         | graceful stop cuts nothing        |
      | a router serves an old revision after its acceptance    | accepted configuration in force   |
      | a router goes back to an older revision                 | accepted configuration in force   |
      | the upstream had been removed 6 seconds before          | accepted configuration in force   |

  Scenario Outline: What is no broken promise is accepted
    When the history changes so that <change>
    Then the checker finds nothing

    Examples:
      | change                                                     |
      | the caller was told not run, then tried again              |
      | the idempotent request ran twice and was billed once       |
      | the upstream had announced its leaving 2 seconds before    |
      | a router that does not serve applies an old revision       |
      | the upstream had been removed and was put back             |
      | a killed router broke the connection during a planned stop |

  Scenario: A refusal that the budget covered counts as false
    When a request is refused as spent while 500 tokens are left
    Then 1 of 2 requests counts as falsely refused

  Scenario: A refusal that the budget did not cover is a true one
    When a request is refused as spent while 10 tokens are left
    Then 0 of 2 requests counts as falsely refused
