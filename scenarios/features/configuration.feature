Feature: Every instance applies the current configuration

  Background:
    Given engines in these zones:
      | id | zone |
      | e1 | a    |
      | e2 | b    |
    And daemons a1,a2 in zone a
    And daemons b1 in zone b
    And the targets are declared
    And an observer keeps reading the configuration revision of every instance

  Scenario: Every instance applies each change and never goes back to an earlier configuration
    When the operator declares models aurora as {"bytes": 400}
    And the operator declares models aurora as {"bytes": 300} through b1
    And the operator declares models aurora as {"bytes": 200} through a2
    Then every instance has models aurora with {"bytes": 200}
    And no instance went back to an earlier configuration

  Scenario: A change is accepted once if the KV service's response to its write is lost
    When platform gets the fault {"loseAnswers": 1}
    And the operator declares models aurora as {"bytes": 400}
    Then every instance has models aurora with {"bytes": 400}
    And the audit trail holds 1 entry for models aurora
    And no instance went back to an earlier configuration

  Scenario: Instances apply a change even if their KV watches stay open but deliver nothing
    When platform gets the fault {"muteWatches": true}
    And the operator declares models aurora as {"bytes": 400}
    Then every instance has models aurora with {"bytes": 400}

  Scenario: If two operators change the same version, one gets a conflict that names the other's change
    When the operator declares models aurora as {"bytes": 400}
    Then every instance has models aurora with {"bytes": 400}
    When two operators change models aurora at its current version at the same time through a1 and b1
    Then one of them gets a conflict that names the other's change
    And no instance went back to an earlier configuration

  Scenario: An instance that starts while the KV service is down gets its configuration from its peers
    When the operator declares models aurora as {"bytes": 400}
    Then a1 sees models aurora ready
    When platform gets the fault {"down": true}
    And daemons b2 in zone b
    Then b2 sees models aurora ready
    When a caller streams "from a new instance" from aurora through b2
    Then every streamed answer is complete and belongs to its prompt
    When platform gets the fault {"down": false}
    And the operator declares models aurora as {"bytes": 300}
    Then every instance has models aurora with {"bytes": 300}
    And no instance went back to an earlier configuration

  Scenario: An instance that can't reach the KV service gets changes from its peers
    When platform gets the fault {"cutInstances": ["b1"]}
    And the operator declares models aurora as {"bytes": 400}
    Then every instance has models aurora with {"bytes": 400}
    And no instance went back to an earlier configuration
