package org.cornelchute.net.store;

import java.util.Map;
import java.util.Set;

/**
 * A change of a watched table.
 *
 * @param requestedAtMillis time at which the request for the change was sent, on the steady clock
 *     of the process
 * @param storeTimeMillis time of the response on the store's steady clock
 * @param seenUntilMillis time on the store's clock up to which this process saw each change soon
 *     after it was made: the time of the response, or of the last one before requests failed or a
 *     change could not be handled. Meaningless for the first read.
 * @param initial whether this is the first read of the table in this process, or a further one
 *     before any could be handled completely
 * @param restored whether this is the first read of the table since the store was restored from an
 *     older copy; rows may have gone back to earlier states
 * @param rows all rows of the table by key; valid during the call only
 * @param changedKeys keys of the rows that were changed or deleted
 * @param unreadableKeys keys of the rows whose newest state could not be read, so that {@code rows}
 *     lacks them or holds an earlier state; see {@link RowsResponse#unreadableKeys()}
 */
public record TableChange(
    long requestedAtMillis,
    long storeTimeMillis,
    long seenUntilMillis,
    boolean initial,
    boolean restored,
    Map<String, StoredRow> rows,
    Set<String> changedKeys,
    Set<String> unreadableKeys) {}
