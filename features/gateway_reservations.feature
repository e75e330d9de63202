Feature: Reservations whose caller leaves
  Tokens of a request are reserved at several holders, one call after the other. Its caller may leave at
  any moment of that.

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
