package org.cornelchute.policy.rules;

/**
 * A rule and its position in the rules file.
 *
 * @param line line number, from 1
 * @param rule the rule
 * @param asked who requested the rule, from the comment at the end of the line
 */
public record RuleLine(int line, Rule rule, String asked) {}
