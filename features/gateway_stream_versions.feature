Feature: Streams across software versions of upstreams
  What two versions of an upstream's software write does not fit together, so a stream that breaks may
  go on only at the version that began it: within one answer, and when its caller resumes it at any gateway.

  Scenario: A broken stream goes on at an upstream of another version
    Given a fleet with 1 gateways, and upstreams of version v1 (3) and version v2 (3) whose first streams break
    When gateway 1 gets 12 streams
    Then all of them are whole, and each has events of one version

  Scenario: A broken stream whose version has no other upstream ends at another version
    Given a fleet with 1 gateways, and upstreams of version v1 (1) and version v2 (1) whose first streams break
    When gateway 1 gets 2 streams
    Then both are broken at once, and each has events of one version

  Scenario: A stream that its caller resumes at another gateway goes on at another version
    Given a fleet with 3 gateways, and upstreams of version v1 (3) and version v2 (3)
    When callers receive 24 streams, and resume each at another gateway
    Then all of them are whole, and each has events of one version

  Scenario: A stream that its caller resumes twice goes on at another version
    Given a fleet with 3 gateways, and upstreams of version v1 (3) and version v2 (3)
    When callers receive 24 streams, and resume each at two other gateways in turn
    Then all of them are whole, and each has events of one version

  Scenario: A stream that nobody knows any more is resumed at any version
    Given a fleet with 2 gateways, and upstreams of version v1 (3) and version v2 (3)
    When a caller resumes a stream that no gateway knows
    Then it is refused at once with 503, and reaches no upstream

  Scenario: A stream whose version has left is resumed at another one
    Given a fleet with 2 gateways, and upstreams of version v1 (1) and version v2 (1)
    When a caller receives a stream, its upstream leaves, and the caller resumes it at another gateway
    Then it is refused at once with 503, and reaches no upstream

  Scenario: A stream whose route has moved to another service is resumed there
    Given a fleet with 2 gateways, and 2 upstreams of each of two services
    When a caller receives a stream, its route moves to the other service, and the caller resumes it
    Then it is refused at once with 503, and reaches no upstream

  Scenario: A stream of a route to two services is resumed at the other one
    Given a fleet with 2 gateways, and 2 upstreams of each of two services
    And the route leads to both services alike
    When callers receive 24 streams of it, and resume each at the other gateway
    Then all of them are whole, and each has events of one service

  Scenario: A stream that went through a peer is resumed at another version
    Given a fleet with 3 gateways, and upstreams of version v1 (3) and version v2 (3)
    And gateway 1 of the fleet reaches no upstream
    When callers receive 24 streams, and resume each at another gateway
    Then all of them are whole, and each has events of one version

  Scenario: A stream that a peer can't finish goes on at another version through another peer
    Given a fleet with 3 gateways, and upstreams of version v1 (3) and version v2 (3) whose first streams break
    And gateway 1 of the fleet reaches no upstream
    When gateway 1 gets 12 streams
    Then each of them has events of one version

  # Guards against two versions in a stream when the gateways and the old version have gone together.
  Scenario: A stream that its caller does not name goes on at the one version that gateways know
    Given a fleet with 2 gateways, and upstreams of version v1 (0) and version v2 (3)
    When a caller resumes a stream without naming it
    Then it is refused at once with 503, and reaches no upstream

  # Guards against the same after lists that were not read for a while, or that had another version.
  Scenario Outline: A single version counts as proof though another one may have been there
    Given lists of versions <versions> that are read each second, and then <pause> seconds nothing
    When version v2 alone is listed for <seconds> seconds more
    Then it is <proof> that the service had a single version for 20 seconds

    Examples:
      | versions | pause | seconds | proof    |
      | v2       | 0     | 30      | proved   |
      | v2       | 0     | 10      | unproved |
      | v1,v2    | 0     | 10      | unproved |
      | v1,v2    | 0     | 30      | proved   |
      | v2,v2    | 10    | 15      | unproved |

  # Guards against two versions in a stream while the list is older than the process that answers.
  Scenario: A broken stream goes on at an upstream that came back as another version before it is listed
    Given a fleet with 1 gateways, and upstreams of version v1 (2) and version v2 (0)
    When an upstream of version v1 starts again unlisted, and 6 streams of the other one break
    Then no stream goes on at the upstream that started again

  # Guards against streams that are taken for the listed version though an unlisted one began them.
  Scenario: A stream that began at an upstream that came back as another version goes on at the listed one
    Given a fleet with 2 gateways, and upstreams of version v1 (2) and version v2 (0)
    When an upstream of version v1 starts again unlisted, and callers resume 6 streams that it began
    Then each of them is refused with 503

  # Guards against streams that can't go on since a packet to their upstream was lost before.
  Scenario: A connection that timed out makes the version of its upstream unknown
    Given a fleet with 1 gateways, and upstreams of version v1 (2) and version v2 (0) whose first streams break
    When connections of gateway 1 time out once, and it gets 4 streams afterwards
    Then all of them are whole, and each has events of one version
