package org.cornelchute.net.platform;

/**
 * One write of a transaction.
 *
 * @param key key of the row
 * @param version expected version of the row, 0 if the row must not exist
 * @param value text to store
 */
public record TableWrite(String key, long version, String value) {}
