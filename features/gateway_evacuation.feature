Feature: Evacuation of an availability zone
  Operators request that the upstreams of a zone get no requests. Of 594 requests that reached upstreams
  of evacuated zones in one simulated day, each was sent because no gateway read that record.

  Scenario Outline: An evacuation is in force everywhere in time, and so is its end
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    And <trouble>
    When the operators evacuate a zone and restore it, 5 times
    Then each time the evacuation is in force or over everywhere within <bound> seconds

    Examples:
      | count | lost | seed | trouble                                  | bound |
      | 3     | 5    | 401  | no trouble                               | 2     |
      | 80    | 5    | 402  | no trouble                               | 2     |
      | 80    | 30   | 403  | no trouble                               | 4     |
      | 80    | 0    | 404  | all readers are cut off from the store   | 4     |
      | 80    | 5    | 405  | a third is cut off from the store        | 4     |
      | 30    | 5    | 406  | all readers hear and are heard by nobody | 4     |

  Scenario: Gateways that all start again in an evacuated zone's time heed it from the beginning
    Given 80 gateways that know each other, losing 2 of 100 digests, seed 407
    When the operators evacuate a zone
    And all gateways are killed and start again
    Then no gateway has a list of upstreams without the evacuation

  Scenario: A configuration in the same second changes nothing about an evacuation
    Given 80 gateways that know each other, losing 2 of 100 digests, seed 408
    When the operators write a configuration and evacuate a zone at once, 5 times
    Then each time both are in force everywhere within 3 seconds

  Scenario: An evacuation stays in force in an outage of the store
    Given 30 gateways that know each other, losing 2 of 100 digests, seed 409
    When the operators evacuate a zone
    And 3 seconds pass in the fleet
    And the store is away for 10 seconds
    Then the evacuation is in force everywhere

  Scenario: Requests go to the upstreams of other zones until the evacuation ends
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    And upstream app-2 of service app that "answers"
    When upstream app-2 is in another availability zone
    And the operators evacuate zone-a
    And 6 requests after another read /get/a
    Then every answer has status 200, and only app-2 got requests

  Scenario: An upstream gets requests again after the end of its zone's evacuation
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators evacuate zone-a
    And the operators restore zone-a
    And 1 request after another reads /get/a
    Then the gateway answers 200

  Scenario: A service that is left without an upstream refuses at once
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators evacuate zone-a
    And 1 request after another reads /get/a
    Then the gateway answers 503
    And is told when to come back
    And 0 requests reached an upstream

  Scenario: A running stream of an evacuated zone is served to its end
    Given a gateway before the services
    And upstream llm-1 of service llm that "streams 40 events in 2 seconds"
    When a stream of /ask/a is asked for while the operators evacuate zone-a
    Then the caller gets events 1 to 40, each once, from its first upstream

  Scenario: A retry after a failure in an evacuated zone goes elsewhere
    Given a gateway before the services
    And two upstreams of service llm: the first choice "falls silent after 2 events", the other "streams 5 events"
    When the second choice of service llm is in another availability zone
    And a stream of /draft/a is asked for while the operators evacuate zone-a
    Then the caller gets events 1 to 5, each once, from its first upstream
    And the second choice of service llm got 1 request

  Scenario: A request that waits for a permit is not sent to a zone evacuated meanwhile
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When app-1 has answered once, and accepts a request only in 0.1 seconds
    And a request waits for it while the operators evacuate zone-a
    Then the waiting request is refused with 503, and app-1 got 1 request

  Scenario: The evacuation of an unknown zone excludes no upstream
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators evacuate no-such-zone
    And 1 request after another reads /get/a
    Then the gateway answers 200

  Scenario: Operators see how many zones are evacuated
    Given a gateway before the services
    And upstream app-1 of service app that "answers"
    When the operators evacuate zone-a
    Then the metrics show 1 evacuated zone
