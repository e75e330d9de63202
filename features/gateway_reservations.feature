Feature: Reservations at several holders
  Tokens of a request are reserved at several holders, one call after the other. Its caller may leave at
  any moment of that, and holders may know less of the workspace than the gateway that asks them.

  Scenario Outline: Tokens stay reserved after their caller has left while holders are asked
    Given 3 token holders and a budget of 9000 tokens
    When 200 requests reserve tokens at them with seed <seed>, replies are late or lost, and callers leave
    Then no tokens are reserved at any holder

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario Outline: A workspace with tokens left is called exhausted by a holder that <lacks>
    Given 2 token holders and a budget of 9000 tokens
    When the holders have drawn, and holder 2 <lacks>
    And a gateway asks them for 5000 tokens
    Then the gateway gets the tokens

    Examples:
      | lacks                              |
      | has read no configuration          |
      | has the one before a top-up        |
      | has the one before it was added    |
