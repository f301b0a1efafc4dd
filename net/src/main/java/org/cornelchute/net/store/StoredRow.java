package org.cornelchute.net.store;

/**
 * One row of a table.
 *
 * @param key key of the row
 * @param value content of the row, never null
 * @param version version of the store at the last change of the row
 * @param deleted whether the row has been deleted
 */
public record StoredRow(String key, byte[] value, long version, boolean deleted) {}
