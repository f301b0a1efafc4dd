package org.cornelchute.policy.rules;

/**
 * An error in a rules file.
 *
 * @param line line number, from 1
 * @param column column number, from 1
 * @param message description of the error
 * @param suggestion accepted form
 */
public record RuleError(int line, int column, String message, String suggestion) {

  @Override
  public String toString() {
    return line + ":" + column + ": " + message + "; " + suggestion;
  }
}
