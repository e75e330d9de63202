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
    When the gateway is told to stop while its event loop is blocked for 1.5 seconds
    And 1.6 seconds later a caller asks for a stream of /draft/late
    And the gateway ends
    Then the caller is refused at once, told when to return, and its connection is closed
    And the gateway has ended 6 seconds after the signal

  Scenario: A request in progress at the end of a stop is answered as if the gateway had failed
    Given a gateway before the services
    And upstream app-1 of service app that "never answers"
    And a caller that waits for an answer to /post/long
    When the gateway is told to stop
    Then the waiting caller is answered 504 before the end of the grace time

  Scenario: A gateway that stops while its registration is being written stays registered
    Given a gateway that registers in a store
    When the write of its registration takes effect and is not answered for 0.6 seconds
    And the gateway withdraws its registration 0.2 seconds later
    Then nothing is registered half a second later

  Scenario: A gateway that stops while its registration is on its way is registered afterwards
    Given a gateway that registers in a store
    When the write of its registration arrives 0.6 seconds late
    And the gateway withdraws its registration 0.2 seconds later
    Then nothing is registered half a second later

  Scenario: A gateway stays registered since the store fails once while it withdraws
    Given a gateway that registers in a store
    And it is registered
    When the store refuses writes for 0.4 seconds
    And the gateway withdraws its registration 0.2 seconds later
    Then nothing is registered half a second later

  Scenario: The stop of a gateway waits without end for a store that does not answer
    Given a gateway that registers in a store
    And it is registered
    When the store answers nothing for 60 seconds
    And the gateway withdraws its registration 0.2 seconds later
    Then the withdrawal ended within 3 seconds

  Scenario: A gateway whose registration failed once is never registered
    Given a gateway that registers in a store
    When the write of its registration is refused once
    And 3 seconds pass at the registering gateway
    Then its key is registered, and it knows that

  Scenario: A gateway whose registration was not answered does not know that it is registered
    Given a gateway that registers in a store
    When the write of its registration takes effect and is not answered for 2 seconds
    And 4 seconds pass at the registering gateway
    Then its key is registered, and it knows that

  Scenario Outline: Stopping gateways name nobody to callers after all gateways that they know stop
    Given <gateways> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When all of them begin to stop, and another one starts a second later
    Then a second after its registration all of them name it to callers
    And they make at most <calls> calls for lists a second each

    Examples:
      | gateways | lost | seed | calls |
      | 1        | 0    | 1    | 3     |
      | 3        | 0    | 2    | 3     |
      | 7        | 5    | 3    | 3     |
      | 83       | 5    | 4    | 3     |

  Scenario: Stopping gateways that know nobody read the member list of a store that is away
    Given 7 gateways that know each other, losing 0 of 100 digests, seed 5
    When all of them begin to stop while the store is away
    Then they make at most 2 calls for lists a second each

  Scenario Outline: Tokens are lost that a stopping gateway passes on to one that returns its own
    Given 3 gateways before the services with 9000 prepaid tokens
    And upstream app-1 of service app that "answers"
    When the store is away, and gateway <closed> returns its tokens while the others don't know that
    And gateway 1 stops
    Then gateway <heir> has the tokens of gateway 1 and its own

    Examples:
      | closed | heir |
      | 2      | 3    |
      | 3      | 2    |

  Scenario: A holder refuses tokens that it has taken when their message is repeated after its close
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 2 takes over the tokens of holder 1, and then returns its own
    Then holder 2 confirms the tokens of holder 1 again, and refuses those of another one

  Scenario Outline: A stopping gateway is not told about upstreams after its withdrawal
    Given <gateways> gateways that know each other, losing 0 of 100 digests, seed <seed>
    When <stopping> of them begin to stop, and another one does not list them any more
    And <teller> gateway learns that an upstream is leaving, another one limited and a third one cold
    Then a tenth of a second later the stopping gateways know that, too

    Examples:
      | gateways | seed | stopping | teller    |
      | 3        | 6    | 1        | a serving |
      | 7        | 7    | 3        | a serving |
      | 7        | 8    | 3        | a stopping |
      | 7        | 9    | 3        | a new     |
      | 83       | 10   | 6        | a serving |

  Scenario: Notices about upstreams go to gateways that stopped long ago
    Given 7 gateways that know each other, losing 0 of 100 digests, seed 11
    When 3 of them begin to stop, and another one does not list them any more
    And these 3 end, and 12 seconds pass
    Then a serving gateway sends notices about upstreams to 3 addresses

  Scenario: Notices about upstreams go to gateways twice that were started again
    Given 7 gateways that know each other, losing 0 of 100 digests, seed 12
    When 3 of them begin to stop, and another one does not list them any more
    And these 3 end, and start again
    Then a serving gateway sends notices about upstreams to 6 addresses
