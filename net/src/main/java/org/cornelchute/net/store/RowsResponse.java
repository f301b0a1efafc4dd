package org.cornelchute.net.store;

import java.util.List;

/**
 * Rows as of one version of the store.
 *
 * @param rows the rows, never null
 * @param version version of the store that they are as of
 * @param storeTimeMillis the store's steady clock at the answer
 * @param historyLost whether the store no longer knows what changed since the version asked for
 */
public record RowsResponse(
    List<StoredRow> rows, long version, long storeTimeMillis, boolean historyLost) {}
