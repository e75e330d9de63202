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
