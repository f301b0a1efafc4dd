package org.cornelchute.net.platform;

/**
 * A row of the table service.
 *
 * @param value stored text
 * @param version row version, which changes with every write and is never 0
 */
public record TableRow(String value, long version) {}
