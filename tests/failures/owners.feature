Feature: Another entry takes over from an owner that died or froze

  Scenario: The owner is killed between two turns
    Given a shop and two entries
    And a program
    When the caller sends an order
    And the caller has its answer
    And the owner is killed
    And the caller asks again at the other entry
    Then the last answer is the receipt of that order
    And the shop has executed one order
    When the caller makes its next order at the other entry
    Then the last answer is the receipt of the second order

  Scenario: The owner is killed before it can dispatch an order
    Given two entries and a shop whose process has not started
    And a program
    When the other entry is frozen
    And the caller sends an order
    And the owner has written the order to its own disk
    And the owner is killed
    And the other entry is thawed
    And the process beside the shop is started
    And the caller asks again at the other entry
    Then the last answer is the receipt of that order
    And the shop has executed one order

  Scenario: The owner is killed while the shop executes an order
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends an order
    And the shop has executed it
    And the owner is killed
    And the caller asks again at the other entry
    Then the last answer is the receipt of that order
    And the shop has executed one order

  Scenario: The owner is killed while its dispatch is on the way
    Given a shop and two entries
    And a program
    When the process beside the shop is frozen
    And the caller sends an order
    And the order is stored as started
    And the owner is killed
    And the process beside the shop is thawed
    And the caller asks again at the other entry
    Then the last answer is the receipt of that order
    And the shop has executed one order

  Scenario: The owner and the process beside the shop die together
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends an order
    And the shop has executed it
    And the process beside the shop is killed
    And the owner is killed
    And the caller asks again at the other entry
    Then the last outcome is given as unknown
    And the shop has executed one order

  Scenario: The owner is frozen during an order, replaced, and goes on
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends an order
    And the shop has executed it
    And the owner is frozen
    And the other entry has taken over
    And the caller asks again at the other entry
    And the owner is thawed
    And the caller has its answer
    Then the last answer is the receipt of that order, or says nothing of it
    And asking again at each entry gives the receipt
    And the shop has executed one order

  Scenario: The owner is frozen in the middle of a dispatch, replaced, and goes on
    Given a shop and two entries
    And a program
    When the process beside the shop is frozen
    And the caller sends an order
    And the order is stored as started
    And the owner is frozen
    And the process beside the shop is thawed
    And the other entry has taken over
    And the caller asks again at the other entry
    And the owner is thawed
    And the caller has its answer
    Then the last answer is the receipt of that order, or says nothing of it
    And asking again at each entry gives the receipt
    And the shop has executed one order

  Scenario: A woken owner does not call an order not run that ran at its successor
    Given a shop and two entries
    And a program
    When the owner is frozen
    And the other entry has taken over
    And a sub-agent opened at the other entry has its order executed
    And the caller repeats that order at the frozen owner
    And the owner is thawed
    And the caller has its answer
    Then no answer said that the order was not run
    And the shop has executed one order
