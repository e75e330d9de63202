Feature: Requests at a gateway that is told to stop
  Callers keep an address for some seconds and use open connections until they are closed, so requests
  reach a gateway until its process ends.

  Scenario: Requests and address lookups at a stopping gateway are counted
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    When the gateway is told to stop
    And 0.2 seconds later a caller reads /get/a
    And a caller looks its addresses up
    Then the stopping gateway counts 1 request and 1 address answer

  Scenario: A stopping gateway accepts a stream late and cuts it
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    And a caller that receives a stream
    When the gateway is told to stop
    And 1.4 seconds later a caller asks for a stream of /draft/late
    Then the caller is refused at once, told when to return, and its connection is closed
    And upstreams got 1 request in all

  Scenario: A gateway that stops while the store is silent accepts a stream late and cuts it
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    And a caller that receives a stream
    When the store goes silent
    And the gateway is told to stop
    And 1.4 seconds later a caller asks for a stream of /draft/late
    Then the caller is refused at once, told when to return, and its connection is closed
    And upstreams got 1 request in all

  Scenario: A stopping gateway refuses a request that it could answer in time
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    And a caller that receives a stream
    When the gateway is told to stop
    And 1.4 seconds later a caller reads /get/short/a
    Then the caller is answered 200, and its connection is closed

  Scenario: A stopping gateway keeps connections until its end
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    And a caller that receives a stream
    When the gateway is told to stop
    And 0.2 seconds later a caller reads /get/a
    Then the caller is answered 200, and its connection is closed

  Scenario: A stopping gateway closes connections without an answer to what it read
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    And 16 callers that send one short request after another on open connections
    When the gateway is told to stop
    And all connections of the callers are closed
    Then the callers got a whole answer to every request that reached an upstream

  Scenario Outline: A stopping gateway names gateways to callers that began to stop after it
    Given <gateways> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When <stopping> of them begin to stop, 2 seconds after each other
    Then a second after each of these stops no other stopping gateway names it to callers

    Examples:
      | gateways | lost | seed | stopping |
      | 3        | 0    | 1    | 2        |
      | 7        | 0    | 2    | 4        |
      | 7        | 5    | 3    | 4        |
      | 83       | 5    | 4    | 6        |
      | 195      | 5    | 5    | 6        |

  Scenario: A stopping gateway resets callers that have just sent a request
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And 16 callers that send each short request on a new connection until none is accepted
    When the gateway is told to stop
    And all connections of the callers are closed
    Then the callers got a whole answer to every request that they could send

  Scenario: A gateway that notices its stop late cuts a stream that it accepted
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream llm-1 of service llm that "streams slowly"
    And a caller that receives a stream
    When the gateway is told to stop while its event loop is blocked for 1 second
    And 1.1 seconds later a caller asks for a stream of /draft/late
    And the gateway ends
    Then the caller is refused at once, told when to return, and its connection is closed
    And the gateway has ended 6 seconds after the signal

  Scenario: A request in progress at the end of a stop is answered as if the gateway had failed
    Given a gateway before the services
    And upstream app-1 of service app that "never answers"
    And a caller that waits for an answer to /post/long
    When the gateway is told to stop
    Then the waiting caller is answered 504 before the end of the grace time
