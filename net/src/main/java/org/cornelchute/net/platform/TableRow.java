package org.cornelchute.net.platform;

/**
 * A row of the table service.
 *
 * @param value the text kept
 * @param version changes with every write, never 0
 */
public record TableRow(String value, long version) {}
