Feature: A planned stop ends, and loses no answer that a new owner asks for

  Scenario: The owner is killed while the process beside the shop stops
    Given a shop and two entries
    And a program
    And the shop takes long to answer
    When the caller sends an order
    And the shop has executed it
    And the owner is killed
    And the process beside the shop is told to stop
    And the caller asks again at the other entry
    Then the last answer is the receipt of that order
    And the shop has executed one order
    And the process beside the shop has stopped with nothing cut off
