Feature: A takeover while the key-value service loses its answers

  Scenario: The answers to all writes are lost after they took effect
    Given a shop and three entries
    And a program at the third entry
    When the key-value service loses the answers to all writes
    And the caller sends an order that the shop executes slowly
    And the owner is killed
    And the caller asks again at both other entries at once
    Then both have the receipt of that order
    And the shop has executed one order
    And every partition has been opened by one process at each epoch
    And every partition is owned by the process that opened it last
