Feature: Upstreams that fail if they have to reject too many requests
  An upstream announces in its answers how many rejections a second it bears from all gateways together.
  Beyond that it crashes, its requests go to the others, and these crash as well.

  Scenario Outline: Upstreams crash since gateways send more requests than they have room for, <case>
    Given <gateways> gateway processes before 4 upstreams that bear 5 rejections a second
    When callers send <rate> requests a second for 12 seconds, seed <seed>, and <killed> gateways are killed
    Then at most 2 upstreams have failed
    And <least> or more requests were answered within twice their objective

    Examples:
      | case                             | gateways | rate | seed | killed | least |
      | beyond their capacity            | 8        | 100  | 1    | 0      | 400   |
      | below their capacity             | 8        | 60   | 3    | 0      | 400   |
      | while some gateways are replaced | 8        | 100  | 2    | 3      | 400   |

  Scenario Outline: An upstream rejects too many requests before fleets of different sizes
    Given <count> gateways that know each other, losing <lost> of 100 digests, seed <seed>
    When an upstream with 4 slots and no queue tells one gateway that it bears 5 rejections a second
    And all gateways always have 2 requests for it, for 15 seconds<fault>
    Then it rejects at most 5 requests in any second, and runs <least> or more in all

    Examples:
      | count | lost | seed | least | fault                                |
      | 3     | 0    | 521  | 150   |                                      |
      | 8     | 5    | 522  | 150   |                                      |
      | 83    | 5    | 523  | 150   |                                      |
      | 195   | 5    | 524  | 150   |                                      |
      | 8     | 30   | 525  | 75    |                                      |
      | 8     | 5    | 526  | 75    | , while the issuer is killed         |
      | 83    | 5    | 527  | 75    | , while the issuer is killed         |
      | 8     | 5    | 528  | 75    | , while half of the gateways restart |
      | 8     | 5    | 529  | 75    | , while the fleet is split in two    |
      | 83    | 5    | 530  | 75    | , while the fleet is split in two    |
      | 8     | 5    | 531  | 75    | , while the fleet is split in four   |

  Scenario: Long streams are forgotten by the gateway that counts them
    Given 8 gateways that know each other, losing 5 of 100 digests, seed 532
    When an upstream with 12 slots and no queue tells one gateway that it bears 2 rejections a second
    And its requests run for 16 seconds
    And all gateways always have 2 requests for it, for 33 seconds
    Then it rejects at most 2 requests in any second, and runs 12 or more in all

  Scenario: An upstream that was missing from the list for a moment is no longer known to be fragile
    Given 8 gateways that know each other, losing 5 of 100 digests, seed 533
    When an upstream with 4 slots and no queue tells one gateway that it bears 5 rejections a second
    And its requests run for 30 seconds
    And the list lacks it for 5 seconds while each gateway has a request there
    Then 12 seconds later every gateway reports its request there

  Scenario Outline: The adapter parses the header about rejections
    When an answer has the rejections header "<header>"
    Then the upstream is read to bear <number> rejections a second, malformed: <malformed>

    Examples:
      | header           | number | malformed |
      | 5                | 5      | no        |
      | 0                | 0      | no        |
      | 2.5              | 2.5    | no        |
      | 7\|3             | 3      | no        |
      | -1               | 0      | yes       |
      | nan              | 0      | yes       |
      | 1e308            | 0      | yes       |
      | 1234567890123456 | 0      | yes       |
      | 3\|x             | 0      | yes       |
      | (empty)          | 0      | yes       |

  Scenario: An answer that states what an upstream bears reaches all gateways
    Given 80 gateways that know each other, losing 0 of 100 digests, seed 520
    When an answer to one gateway says that an upstream bears 5 rejections a second
    Then 0.1 seconds later every gateway knows that it is fragile
    And after an answer without that number none does
