Feature: Prepaid tokens at the gateways
  Each gateway draws an allotment from the budget record and spends no more than that.

  Scenario: Gateways that start together hold their share and no more
    Given 9 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    Then the holders have about 3118 tokens available together

  Scenario: A holder that has just started has tokens before it knows the others
    Given 9 token holders and a budget of 9000 tokens
    When 0.5 seconds pass for the holders
    Then each holder has tokens, and all of them no more than 3118

  Scenario: After all holders were killed, those that start have tokens at once
    Given 9 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And all holders are killed and others start on their vms
    And 0.5 seconds pass for the holders
    Then each holder has tokens, and all of them no more than 2028
    When they serve requests, drawing on demand, for 20 seconds under no faults, seed 17
    Then the killed and the living used no more than 9000 tokens, and more than 5500

  Scenario: Holders that are cut off and holders that join keep to the share together
    Given 4 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And they are cut off from the store
    And 4 more holders start
    And 4 seconds pass for the holders
    Then the holders have no more than 3119 tokens available together

  Scenario Outline: Tokens last until service has recovered from a kill of all holders
    Given 8 token holders and a budget of 4400000 tokens
    When they spend 100000 tokens a second for <seconds> seconds
    And <trouble> happens to them
    And all holders are killed and others start on their vms
    And they are asked for 100000 tokens a second for 12 seconds
    Then more than a quarter of the requests of the next 4 seconds get their tokens

    Examples:
      | seconds | trouble                                          |
      | 26      | nothing                                          |
      | 23      | an outage of 3 seconds                           |
      | 16      | a cut of 5 holders while the others start again  |
      | 24      | another kill of all a second before              |

  Scenario Outline: Budgets run dry since killed holders took their tokens with them
    Given 8 token holders and a budget of 4400000 tokens
    When they spend 100000 tokens a second for 4 seconds
    And <trouble> happens to them
    And they spend 100000 tokens a second for <seconds> seconds
    And all holders are killed <kills> times and others start on their vms 1.2 seconds later
    And they are asked for 100000 tokens a second for 12 seconds
    Then more than a quarter of the requests of the next 4 seconds get their tokens

    Examples:
      | seconds | trouble                | kills |
      | 13      | an outage of 8 seconds | 1     |
      | 2       | nothing                | 4     |

  Scenario Outline: Killed holders take tokens of a budget that nobody uses with them
    Given <holders> token holders and a budget of 900000 tokens
    When 30 seconds pass for the holders
    And all holders are killed 1 times and others start on their vms 1.2 seconds later
    Then no more than 31500 tokens are lost

    Examples:
      | holders |
      | 1       |
      | 9       |

  Scenario Outline: Tokens last for a second outage that is as long as the first one
    Given 5 token holders and a budget of <budget> tokens
    When they spend 100000 tokens a second for 6 seconds
    And an outage of 8 seconds happens to them
    And they spend 100000 tokens a second for 4 seconds
    Then more than 80 of 100 requests get tokens in another outage of 8 seconds

    Examples:
      | budget   |
      | 4400000  |
      | 6000000  |
      | 12000000 |

  Scenario: The length of an outage counts from the last answer before it
    When the store answers at 10 seconds, fails at 12, 15 and 17 and answers at 18 and 19
    Then the longest outage took 8 seconds

  Scenario: A request that is short of tokens gets them drawn while it waits
    Given 1 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 is asked for 5000 tokens, drawing what is missing
    Then all 5000 tokens are reserved

  Scenario: Requests that are short of tokens together share a draw
    Given 1 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And 5 requests together ask holder 1 for 1700 tokens each, drawing what is missing
    Then all 5 get their tokens

  Scenario Outline: In an outage of the store a request does not wait for tokens
    Given 1 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And the store goes away
    And <seconds> seconds pass for the holders
    And holder 1 is asked for 5000 tokens, drawing what is missing
    Then <tokens> tokens are reserved, without waiting

    Examples:
      | seconds | tokens |
      | 0       | 311    |
      | 5       | 3118   |

  Scenario: A holder without tokens notices what others have given back
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 draws all that nobody holds
    And holder 2 spends 1559 tokens
    And 6 seconds pass for the holders
    Then holder 2 has tokens again

  Scenario: Tokens that a living holder has are not called used up
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 draws all that nobody holds
    And holder 2 spends 1559 tokens
    And 0.5 seconds pass for the holders
    Then holder 2 knows of more than 7000 tokens left

  Scenario: Tokens that an ended holder took with it are called used up
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 draws all that nobody holds
    And holder 1 is killed
    And another starts on its vm
    And 3 seconds pass for the holders
    And holder 2 is asked for 5000 tokens, drawing what is missing
    Then holder 2 knows of less than 1700 tokens left

  Scenario: Tokens of a holder that may only be cut off are not called used up
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 draws all that nobody holds
    And holder 1 is killed
    And 3 seconds pass for the holders
    And holder 2 is asked for 5000 tokens, drawing what is missing
    Then holder 2 knows of more than 7000 tokens left

  Scenario: While the store is away, nothing is called used up for an ended holder
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 draws all that nobody holds
    And 0.5 seconds pass for the holders
    And the store goes away
    And holder 1 is killed
    And another starts on its vm
    And 6 seconds pass for the holders
    Then holder 2 knows of more than 7000 tokens left

  Scenario Outline: However holders fail, the budget is not overspent
    Given 5 token holders and a budget of 100000 tokens
    When they serve requests for 60 seconds under <faults>, seed <seed>
    Then no more than 100000 tokens were used
    And the record counts at least what was used

    Examples:
      | faults                          | seed |
      | no faults                       | 1    |
      | lost answers                    | 2    |
      | lost answers                    | 3    |
      | outages                         | 4    |
      | outages and kills               | 5    |
      | lost answers, outages and kills | 6    |
      | lost answers, outages and kills | 7    |
      | lost answers, outages and stops | 8    |
      | lost answers, outages and stops | 9    |
      | lost answers, outages and stops | 10   |

  Scenario Outline: However holders fail, draws for single requests overspend nothing
    Given 5 token holders and a budget of 100000 tokens
    When they serve requests, drawing on demand, for 60 seconds under <faults>, seed <seed>
    Then no more than 100000 tokens were used
    And the record counts at least what was used

    Examples:
      | faults                          | seed |
      | no faults                       | 11   |
      | lost answers                    | 12   |
      | lost answers, outages and kills | 13   |
      | lost answers, outages and kills | 14   |
      | lost answers, outages and stops | 15   |
      | lost answers, outages and stops | 16   |
      | cuts and kills                  | 17   |
      | lost answers, cuts and kills    | 18   |
      | lost answers, cuts and stops    | 19   |

  Scenario Outline: Successors return tokens that their killed predecessors had spent
    Given 5 token holders and a budget of 2000000 tokens
    When they serve requests, drawing on demand, for 60 seconds under <faults>, seed <seed>
    Then no write has counted less than what the holders that it removed had used

    Examples:
      | faults                                 | seed |
      | restarts                               | 31   |
      | restarts and outages                   | 32   |
      | restarts and cuts                      | 33   |
      | restarts and lost answers              | 34   |
      | restarts, cuts and lost answers        | 35   |
      | restarts, outages and lost answers     | 36   |
      | restarts, outages and stops            | 37   |
      | restarts, cuts, lost answers and stops | 38   |

  Scenario: A workspace that is taken out and put back gets tokens that were spent
    Given 3 token holders and a budget of 900000 tokens
    When 4 seconds pass for the holders
    And the store goes away
    And 4 seconds pass for the holders
    And the holders spend all that they hold
    And the store is back, and the configuration without the workspace, for 3 seconds
    And all holders are killed 1 times and others start on their vms 1.2 seconds later
    And 3 seconds pass for the holders
    Then no write has counted less than what the holders that it removed had used

  Scenario: A holder that stops while the store is away strands nothing
    Given 3 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And the store is away and holder 1 stops
    And the store is back for 5 seconds
    Then the record holds 0 spent tokens and 2 allotments

  Scenario: A holder that stops while it draws for a request strands nothing
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 stops while it draws 5000 tokens for a request
    And 1 seconds pass for the holders
    Then the record holds 0 spent tokens and 1 allotments

  Scenario: Tokens that were passed on twice count once
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And the store is away and holder 1 stops, its message arriving twice
    And the store is back for 5 seconds
    Then the record holds 0 spent tokens and 1 allotments

  Scenario: A holder whose return may have arrived passes nothing on
    Given 2 token holders and a budget of 9000 tokens
    When 4 seconds pass for the holders
    And holder 1 stops, and the store takes its return but goes away before it answers
    Then holder 2 has about 1559 tokens available

  Scenario: Tokens that are given back can't be spent while the write is under way
    Given an account with 900 drawn tokens
    When the record is updated towards a target of 100 tokens
    Then the account has 100 tokens available
