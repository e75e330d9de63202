Feature: The last tokens of a workspace
  Requests of a workspace differ in size. When its budget is about to run dry, large ones would take in
  seconds what would serve small ones for much longer.

  Scenario Outline: Large requests use up a budget, and small ones are refused from then on
    Given 7 token holders and a budget of <budget> tokens
    When they are asked for requests of all sizes for <seconds> seconds, seed <seed>
    And <trouble> stops all of them
    And they are asked for requests of all sizes for 12 seconds
    Then more than a quarter of the requests of the next 4 seconds are served, 23 of 100 without tokens

    Examples:
      | budget  | seconds | trouble         | seed |
      | 1750000 | 30      | a loss of power | 1    |
      | 1750000 | 30      | a loss of power | 2    |
      | 1750000 | 30      | a loss of power | 3    |
      | 1750000 | 33      | a loss of power | 4    |
      | 1750000 | 30      | nothing         | 5    |
      | 350000  | 2       | a loss of power | 6    |

  Scenario: Requests of all sizes are served while a budget lasts
    Given 7 token holders and a budget of 1750000 tokens
    When 4 seconds pass for the holders
    And they are asked for requests of all sizes for 18 seconds, seed 7
    Then all of the requests have got their tokens

  Scenario: A workspace that sends one request may use all of its tokens for it
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And a gateway asks them for 7000 tokens
    Then the gateway gets the tokens

  Scenario Outline: A caller is told whether the budget does not cover a request or only others go first
    Given 7 token holders and a budget of 1750000 tokens
    When they are asked for requests of all sizes for 36 seconds, seed 8
    And a gateway asks them for <tokens> tokens
    Then the request is refused as <refusal>

    Examples:
      | tokens  | refusal                                |
      | 9000    | too large for the last tokens          |
      | 1000000 | larger than what the workspace has left |

  Scenario Outline: Kept tokens are granted in smaller parts the faster they are drawn
    When <left> tokens are left of <kept> that are kept, and <drawn> are drawn a second
    Then one request may draw <most> of them

    Examples:
      | left  | kept  | drawn | most  |
      | 90000 | 40000 | 4000  | 5000  |
      | 40000 | 40000 | 4000  | 5000  |
      | 40000 | 40000 | 8000  | 2500  |
      | 40000 | 40000 | 0     | 10000 |
      | 4000  | 40000 | 400   | 500   |
      | 0     | 40000 | 0     | 0     |
      | -7    | 40000 | 100   | 0     |
