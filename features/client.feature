Feature: Client library
  The client finds routers, and repeats a request without ever making it another request.

  Scenario: An address answer is kept for its stated time
    Given a scripted fleet whose address answer holds for 30 seconds
    When the client asks at the virtual seconds "0, 10, 29"
    Then the scripted fleet was asked for addresses 1 times
    When the client asks at the virtual seconds "0, 10, 31"
    Then the scripted fleet was asked for addresses 2 times

  Scenario: A retry goes elsewhere under the same request id and the first ticket
    Given a scripted fleet whose router "a" drops each request
    When the client asks once
    Then the client has a whole answer
    And the scripted requests went to routers "a, b"
    And the scripted requests share one request id and the ticket "ticket-1"

  Scenario: A retry waits as long as the refusal says
    Given a scripted fleet that refuses once with retry after 7 seconds
    When the client asks once
    Then the client has a whole answer
    And at least 7 virtual seconds passed in the client

  Scenario: A refusal that no retry can help is raised with its request and response
    Given a scripted fleet that refuses for a spent budget
    When the client asks once
    Then the client raises RefusedError for "budget_spent" with status 402
    And the scripted fleet received 1 requests

  Scenario: A broken stream is taken up without a doubled word
    Given a scripted fleet whose stream breaks after 2 of 5 pieces
    When the client streams once
    Then the client has a whole answer
    And the scripted fleet received 2 requests

  Scenario: A repeated stream with another text is not joined to the first
    Given a scripted fleet whose stream breaks after 2 of 5 pieces and differs when repeated
    When the client streams once
    Then the client raises AnswerBrokenError

  Scenario: Silence after a non-idempotent call is never told as not run
    Given a scripted fleet that never answers a service call
    When the client makes a non-idempotent service call
    Then the client raises OutcomeUnknownError
    And the scripted requests share one request id and the ticket "ticket-1"

  Scenario: A refused connection of a non-idempotent call is told as unreachable
    Given a scripted fleet that takes no connections for requests
    When the client makes a non-idempotent service call
    Then the client raises RouterUnreachableError

  Scenario: A request goes to a new home only when the old one is proven not to have run it
    Given a scripted fleet whose first home turns out to be gone without having run a call
    When the client makes a non-idempotent service call
    Then the client has the service's status 200
    And the scripted requests share one request id
    And the scripted requests carried the tickets "ticket-1, ticket-2, ticket-3"

  Scenario: A ticket stays with a request of which an attempt may have run
    Given a scripted fleet that breaks off a call and then refuses it once as never sent
    When the client makes a non-idempotent service call
    Then the client has the service's status 200
    And the scripted requests carried the tickets "ticket-1, ticket-1, ticket-1"

  Scenario: An error of the service itself is its answer
    Given a scripted fleet whose service answers with status 503
    When the client makes a non-idempotent service call
    Then the client has the service's status 503
    And the scripted fleet received 1 requests

  Scenario: A change whose answer is lost is repeated under the same operation id
    Given a scripted fleet that loses the answer of the first change
    When an operator client removes an upstream
    Then the scripted changes number 2 and share one operation id
    And the operator client was told revision 5

  Scenario: The loser of a race is told what changed
    Given a scripted fleet whose revision has moved on to 9 by "op-other"
    When an operator client removes an upstream
    Then the operator client is told of revision 9 by "op-other"
    And the scripted changes number 1 and share one operation id

  Scenario: Waiting for a change names the routers that have not applied it
    Given a scripted fleet where router "r-2" never applies a change
    When an operator client removes an upstream and waits 5 seconds
    Then the operator client is told that "r-2" is awaited

  Scenario: All faults of a configuration file are told at once
    Given a client configuration file with an unknown key "router" and a number as zone
    When the client configuration file is read
    Then both faults are told with their keys
