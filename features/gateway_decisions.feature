Feature: Decisions of a gateway, under the load that each answers

  Scenario: An upstream whose address answers for another one gets no further requests
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream app-2 of service app that "answers"
    When the entry of app-1 still names an address that app-2 has now
    And 6 requests after another are posted to /post/a
    Then the gateway answers in turn 200, 200, 200, 200, 200, 200
    And at most 1 request was sent to app-1 in vain

  Scenario: A request with a single attempt goes on after it reached another upstream
    Given a gateway whose routes allow 1 attempt
    And upstream app-1 of service app that "answers"
    And upstream app-2 of service app that "answers"
    When the entry of app-1 still names an address that app-2 has now
    And 6 requests after another are posted to /post/a
    Then the gateway answers in turn 200, 200, 200, 200, 200, 200

  Scenario: A request with a single attempt does not go on after its upstream declined it
    Given a gateway whose routes allow 1 attempt
    And upstream app-1 of service app that "declines"
    And upstream app-2 of service app that "declines"
    When 1 request after another is posted to /post/a
    Then the gateway answers 503
    And 1 request reached an upstream

  Scenario: An upstream that fails again and again is avoided for longer each time
    Given the state of an upstream
    When it fails once the time before is over, 5 times
    Then it was avoided for 1.5, 3, 6, 12, 12 seconds

  Scenario: Requests that fail together count as one failure
    Given the state of an upstream
    When 8 requests to it fail together
    Then it was avoided for 1.5 seconds

  Scenario: An upstream that answers again is trusted at once
    Given the state of an upstream
    When it fails once the time before is over, 4 times
    And it answers
    And it fails once the time before is over, 1 times
    Then it was avoided for 1.5, 3, 6, 12, 1.5 seconds

  Scenario: Nothing of an earlier lifetime holds for an upstream that starts again
    Given the state of an upstream
    When it fails once the time before is over, 3 times
    And it is sent a prompt of 50000 tokens with the parts "ledger"
    And it starts again under its identifier
    Then it is not avoided, has nothing to read, and keeps nothing
    And what ends of its earlier lifetime changes nothing

  Scenario: What an engine has to read is added up, and shrinks as it reads
    Given a reading queue of prompts of 0.3, 0.2 and 0.1 seconds
    Then its backlog is 0.6 after 0 seconds
    And its backlog is 0.2 after 0.4 seconds
    When the second prompt was read after 0.45 seconds
    Then its backlog is 0.1 after 0.45 seconds
    And its backlog is 0 after 0.6 seconds

  Scenario: Prefill times are learned from idle engines
    Given answers of engines that prefill 140000 tokens a second after 0.06 seconds
    And one answer in 5 waited 0.4 seconds behind others, one in 20 had its prompt cached
    Then a prompt of 3000 tokens is estimated to take 0.011 to 0.043 seconds
    And a prompt of 12000 tokens is estimated to take 0.043 to 0.17 seconds
    And a prompt of 50000 tokens is estimated to take 0.18 to 0.71 seconds

  Scenario Outline: Long prompts in clusters leave other streams alone
    Given the load of the <customer> on modelled engines, seeds 0 to 3
    When it is placed by shared prefixes alone, and as a gateway does
    Then placing it as a gateway does earns <more> or more of the value besides
    And <least> or more of the value is earned

    Examples:
      | customer | more | least |
      | tank     | 0.05 | 0.87  |
      | fleet    | 0.02 | 0.92  |

  Scenario: Gateways that notify each other of prompts place better than those that do not
    Given the load of the tank on modelled engines, seeds 0 to 1
    When it is placed with peers notified, and without
    Then notifying peers earns 0.03 or more of the value

  Scenario: A very long prompt goes where the fewest streams run
    Given the states of 6 engines that prefill 140000 tokens a second
    When 5 engines report 12 running requests, and one reports 2
    And a prompt of 60000 tokens is placed
    Then it went to the engine with the fewest running requests

  Scenario: A shared prefix is fetched from where it was sent last
    Given the states of 6 engines that prefill 140000 tokens a second
    When a prompt of 5000 tokens with the parts "ledger" is placed
    And its engine gets another prompt of 90000 tokens
    And a prompt of 5000 tokens with the parts "ledger" is placed
    Then the second goes elsewhere and fetches the prefix from the first engine

  Scenario Outline: A datagram that can't be used changes no state
    Given a send notifier before one known engine
    When it takes the datagram <datagram>
    Then the engine is estimated to have nothing to prefill

    Examples:
      | datagram                      |
      | ["other",0.0,"k",5000]        |
      | ["engine",7.5,"k",5000]       |
      | ["engine",0.0,"k",-5]         |
      | ["engine",0.0,"k",99999999999] |
      | ["engine",0.0,"k","many"]     |
      | {"upstream":"engine"}         |
      | half                          |

  Scenario: A datagram of a peer is applied
    Given a send notifier before one known engine
    When it takes the datagram ["engine",0.0,"k",5000]
    Then the engine is estimated to prefill 5000 tokens

  Scenario: Gateways notify each other of prompts
    Given 2 gateways before the services with 1000000 prepaid tokens
    And upstream llm-1 of service llm that "streams slowly"
    When gateway 1 is asked to stream a prompt of 9000 tokens
    Then gateway 2 estimates that llm-1 caches the prompt's prefix

  Scenario Outline: A slow engine gets less, and streams are answered in time elsewhere
    Given the load of the <customer> on modelled engines, seeds 0 to 3
    When one engine works five times as long for 7 of 24 seconds, with and without estimates of slowdown
    Then estimating it earns more of the value

    Examples:
      | customer |
      | tank     |
      | fleet    |

  Scenario: The estimated slowdown of an engine decays
    Given the states of 6 engines that prefill 140000 tokens a second
    When 5 first events of one engine take 5 times as long as expected
    Then it is estimated to take 3 to 5 times as long
    And after 12 seconds it is estimated to take 1.2 to 1.7 times as long

  Scenario: Clocks that jump change no decision
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the time of day jumps by hours, both ways, while 6 requests are posted to /post/a
    Then the gateway answers in turn 200, 200, 200, 200, 200, 200
