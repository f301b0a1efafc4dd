package org.cornelchute.policy.rules;

/**
 * A rule with its place in the file.
 *
 * @param line number from 1
 * @param rule the rule
 * @param asked who asked for it, from the comment
 */
public record RuleLine(int line, Rule rule, String asked) {}
