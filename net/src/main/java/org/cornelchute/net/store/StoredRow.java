package org.cornelchute.net.store;

/**
 * One row.
 *
 * @param key its key
 * @param value its bytes, never null
 * @param version version of the store at its last change
 * @param deleted whether it is gone
 */
public record StoredRow(String key, byte[] value, long version, boolean deleted) {}
