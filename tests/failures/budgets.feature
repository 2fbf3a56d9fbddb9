Feature: A program never uses more tokens than its budget

  Scenario: A program that loops without end
    Given an engine and an entry
    And a program with a budget of 1500 tokens
    When the program calls the model until it is refused
    Then the last call was refused for its budget and not run
    And the engine has used at most 1500 tokens for the program and its sub-agents

  Scenario: Sub-agents race for the last tokens of their parent
    Given an engine and an entry
    And a program with a budget of 1500 tokens
    And 6 sub-agents that draw on it
    When all sub-agents call the model at once until they are refused
    Then each was refused for its budget and not run
    And the engine has used at most 1500 tokens for the program and its sub-agents

  Scenario: An engine reports more tokens than were reserved
    Given an engine and an entry
    And a program with a budget of 1500 tokens
    And the engine reports 2000 tokens more than it generates
    When the program calls the model until it is refused
    Then the last call was refused for its budget and not run
    And the program has made 1 call
    And the engine has used at most 1500 tokens for the program and its sub-agents
