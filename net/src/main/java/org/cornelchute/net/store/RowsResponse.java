package org.cornelchute.net.store;

import java.util.List;
import java.util.Set;

/**
 * Rows at one version of the store.
 *
 * @param rows the rows, never null
 * @param version version of the store at which the rows were read
 * @param storeTimeMillis time of the response on the store's steady clock
 * @param historyLost whether the store has discarded changes made after the requested version
 * @param unreadableKeys keys of further rows that could not be read; {@link #UNREADABLE_KEY} for
 *     those whose key could not be read either
 */
public record RowsResponse(
    List<StoredRow> rows,
    long version,
    long storeTimeMillis,
    boolean historyLost,
    Set<String> unreadableKeys) {

  /** Stands for the key of a row whose key could not be read. */
  public static final String UNREADABLE_KEY = "";

  /** Creates a response whose rows could all be read. */
  public RowsResponse(
      List<StoredRow> rows, long version, long storeTimeMillis, boolean historyLost) {
    this(rows, version, storeTimeMillis, historyLost, Set.of());
  }
}
