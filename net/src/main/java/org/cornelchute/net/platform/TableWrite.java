package org.cornelchute.net.platform;

/**
 * One write of a transaction.
 *
 * @param key the row
 * @param version version that the row must have, 0 if it must not exist
 * @param value the text to keep
 */
public record TableWrite(String key, long version, String value) {}
