Feature: Audit of the demo
  The demo's exit status rests on this audit, so each broken promise must be found.

  Scenario: A clean run breaks no promise
    Given a demo run with one answered request and one call of a service
    When the demo run is audited
    Then the audit finds nothing broken
    And the audit counts 2 answered and 2 billed

  Scenario Outline: Each broken promise is found
    Given a demo run with one answered request and one call of a service
    But in the demo run <fault>
    When the demo run is audited
    Then the audit finds "<words>"

    Examples:
      | fault                                      | words                         |
      | the request is billed twice                | billed 2 times                |
      | the request is not billed                  | with 0 bills                  |
      | a request that nobody sent is billed       | never asked                   |
      | the answer is another one                  | not the request's own         |
      | the caller was told another use            | another use than billed       |
      | the engine ran other tokens than billed    | billed 100 tokens             |
      | no engine ran the request                  | no upstream ran it            |
      | the service ran the call twice             | ran 2 times                   |
      | a request told as not run has run          | told as not run               |
      | a request has no known outcome             | no answer                     |
      | the budget record holds another grant      | granted 7                     |
      | more was settled than billed               | settled 101                   |
      | tokens were not returned                   | were not returned             |

  Scenario: Overspent tokens are counted
    Given a demo run with one answered request and one call of a service
    But in the demo run less was granted than billed
    When the demo run is audited
    Then the audit counts 40 overspent tokens
