package org.cornelchute.net.store;

import java.util.List;

/**
 * Rows at one version of the store.
 *
 * @param rows the rows, never null
 * @param version version of the store at which the rows were read
 * @param storeTimeMillis time of the response on the store's steady clock
 * @param historyLost whether the store has discarded changes made after the requested version
 */
public record RowsResponse(
    List<StoredRow> rows, long version, long storeTimeMillis, boolean historyLost) {}
