package org.cornelchute.policy.rules;

/**
 * A fault in a rules file.
 *
 * @param line number from 1
 * @param column number from 1
 * @param message the fault
 * @param suggestion what to write instead
 */
public record RuleError(int line, int column, String message, String suggestion) {

  @Override
  public String toString() {
    return line + ":" + column + ": " + message + "; " + suggestion;
  }
}
