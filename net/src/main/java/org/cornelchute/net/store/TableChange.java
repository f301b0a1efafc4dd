package org.cornelchute.net.store;

import java.util.Map;
import java.util.Set;

/**
 * A change of a table that is watched.
 *
 * @param requestedAtMillis when the question was asked that this answers, on the process's steady
 *     clock
 * @param storeTimeMillis the store's steady clock at the answer
 * @param initial whether this is the first sight of the table in this process
 * @param rows the whole table, valid during the call only
 * @param changedKeys keys that changed or are gone
 */
public record TableChange(
    long requestedAtMillis,
    long storeTimeMillis,
    boolean initial,
    Map<String, StoredRow> rows,
    Set<String> changedKeys) {}
