Feature: Requests that a gateway forwards to a peer
  A gateway that reaches no upstream of a service sends its callers' requests to a peer that does. For the
  callers, the upstreams and the prepaid tokens nothing else changes.

  Background:
    Given 3 gateways before the services with 1000000 prepaid tokens
    And 3 upstreams of service app that "answers"
    And 2 upstreams of service llm that "streams 5 events"
    And the gateways know each other

  Scenario: A request that may not run twice is forwarded again after its upstream broke off
    Given gateway 1 reaches no upstream
    And from then on each upstream of service app "breaks the connection"
    When 1 request is sent to gateway 1 for /post/a
    Then all callers are answered 502
    And upstreams ran 1 request in all

  Scenario: A request that may not run twice is lost with a peer that can't be connected
    Given gateway 1 reaches no upstream
    And gateway 1 can't connect to gateway 2
    When 24 requests are sent to gateway 1 for /post/a
    And the gateways are asked what they count
    Then all callers are answered 200
    And each request ran once
    And gateway 1 found a peer unavailable

  Scenario: A request that may not run twice is forwarded again after its peer was lost
    Given gateway 1 reaches no upstream
    And from then on each upstream of service app "answers 0.3 seconds late"
    When gateway 1 begins to forward a request for /post/a
    And the connection to the peer that carries it is reset
    And the request has ended
    Then all callers are answered 502
    And upstreams ran 1 request in all

  Scenario: A request runs again because its upstream's answer is taken for a refusal by the peer
    Given the answers of upstreams carry the header of refusals by peers
    And gateway 1 reaches no upstream
    When 1 request is sent to gateway 1 for /post/a
    Then all callers are answered 200
    And upstreams ran 1 request in all

  Scenario: The attempts of the route begin anew at the peer
    Given from then on each upstream of service app "fails late"
    When gateway 1 loses its links while an upstream runs a request for /get/a
    Then upstreams ran a request at most 2 times

  Scenario: A forwarded request that fails takes more attempts than its route allows
    Given gateway 1 reaches no upstream
    And from then on each upstream of service app "fails"
    When 1 request is sent to gateway 1 for /get/a
    Then upstreams ran a request at most 2 times

  Scenario: A forwarded stream that breaks takes more attempts than its route allows
    Given gateway 1 reaches no upstream
    And from then on each upstream of service llm "breaks after 2 events"
    When a stream of /draft/a is asked for at gateway 1
    Then upstreams ran a request at most 2 times

  Scenario: Retries of forwarded requests are not taken from the budget
    Given gateway 1 reaches no upstream
    And from then on each upstream of service app "fails"
    When 60 requests are sent together to gateway 1 for /get/a
    Then the retries are within the budget of the fleet

  Scenario: The tokens of a forwarded stream are charged twice or not at all
    Given gateway 1 reaches no upstream
    When a stream of /draft/a is asked for at gateway 1
    Then the caller at gateway 1 gets all 5 events in order, each once
    And the workspace was charged 120 tokens in all

  Scenario: Events are lost or doubled when a forwarded stream goes on through another peer
    Given gateway 1 reaches no upstream
    And from then on each upstream of service llm "streams 12 events"
    When gateway 1 begins to forward a stream of /draft/a
    And the connection to the peer that carries it is reset
    And the stream has ended
    Then the caller at gateway 1 gets all 12 events in order, each once
    And the workspace was charged 148 tokens in all

  Scenario: A forwarded stream runs on after its caller has left
    Given gateway 1 reaches no upstream
    And from then on each upstream of service llm "streams slowly"
    When gateway 1 begins to forward a stream of /draft/a
    And its caller leaves
    Then the run at the upstream has ended 0.5 seconds later

  Scenario: Events of a forwarded stream are held back
    Given gateway 1 reaches no upstream
    And from then on each upstream of service llm "streams 12 events"
    When the arrivals of a stream of /draft/a are observed at gateway 1
    Then no event arrives more than 0.12 seconds after it was made

  Scenario: Requests go through peers, or avoid upstreams, after the links have healed
    Given gateway 1 reaches no upstream
    When the links of gateway 1 heal, and it reaches all services within 1.5 seconds
    And 30 requests are sent to gateway 1 for /get/a
    Then peers served none of them, and each upstream of service app at least 3

  Scenario: A gateway that stops cuts the stream that it carries for a peer
    Given gateway 1 reaches no upstream
    And from then on each upstream of service llm "streams 40 events in 2 seconds"
    When gateway 1 begins to forward a stream of /ask/a
    And the peer that carries it is told to stop
    And the stream has ended
    Then the caller at gateway 1 gets all 40 events in order, each once

  Scenario: A forwarded request fails because the peer is about to end
    Given gateway 1 reaches no upstream
    When gateway 2 is about to end, which gateway 1 has not learned
    And 10 requests are sent to gateway 1 for /post/a
    And the gateways are asked what they count
    Then all callers are answered 200
    And each request ran once
    And a peer refused some as stopping

  Scenario: Connections that are reset in a cut count as crashes of upstreams
    Given from then on each upstream of service llm "streams 12 events"
    When gateway 1 streams the same content of /draft/a 4 times at once
    And gateway 1 loses its links, and its open connections are reset
    And the gateways are asked what they count
    Then the caller at gateway 1 gets all 12 events in order, each once
    And no gateway counts a crash or holds content in quarantine

  Scenario: A caller is served free of charge with the mark of forwarded requests
    When a caller sends "quinceferry-forwarded: 9" with a request for /draft/a
    Then no upstream sees the mark of forwarded requests, but the key's workspace
    And the workspace was charged 120 tokens in all

  Scenario: A caller gets more attempts with the mark of forwarded requests
    Given from then on each upstream of service llm "fails"
    When a caller sends "quinceferry-forwarded: 9" with a request for /draft/a
    Then upstreams ran a request at most 2 times

  Scenario: A peer passes the mark of forwarded requests on to upstreams
    Given gateway 1 reaches no upstream
    When a stream of /draft/a is asked for at gateway 1
    Then no upstream sees the mark of forwarded requests, but the key's workspace

  Scenario: The address for metrics serves requests without their tokens
    When a caller sends the mark of forwarded requests to the metrics address of gateway 1
    Then the request is not served there
