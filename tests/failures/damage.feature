Feature: An owner starts again with a damaged journal

  Scenario: The last record of the journal is torn
    Given a shop and two entries
    And a program
    When the caller sends an order
    And the caller has its answer
    And the process beside the shop is killed
    And the owner is killed
    And the last record of the program in the owner's journal is torn
    And the owner starts again with its data folder
    And the process beside the shop is started
    And the partition is open again with a copy at each entry
    And the other entry is killed
    Then the owner has kept its data folder
    And asking again at each entry gives the same answer
    And the last answer is the receipt of that order
    And the shop has executed one order

  Scenario: A record in the middle of the journal is damaged
    Given a shop and two entries
    And a program
    When the caller sends an order
    And the caller has its answer
    And the process beside the shop is killed
    And the owner is killed
    And the first record of the program in the owner's journal is damaged
    And the owner starts again with its data folder
    And the process beside the shop is started
    And the partition is open again with a copy at each entry
    And the other entry is killed
    Then the owner has set its data folder aside and begun another
    And asking again at each entry gives the same answer
    And the last answer is the receipt of that order
    And the shop has executed one order
