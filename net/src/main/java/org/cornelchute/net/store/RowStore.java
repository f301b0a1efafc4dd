package org.cornelchute.net.store;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;

/** A store of tables; calls back on the event loop, exactly once for each method call. */
public interface RowStore {

  /**
   * Returns the epochs of the store. They change before the callback of the response that shows it.
   */
  EpochTracker epochs();

  /** Reads every row of a table. */
  void readTable(String table, Consumer<Either<Failure, RowsResponse>> callback);

  /**
   * Reads the rows of a table whose keys lie in a range.
   *
   * @param firstKey first key of the range
   * @param endKey key after the range
   */
  void readRange(
      String table,
      String firstKey,
      String endKey,
      Consumer<Either<Failure, RowsResponse>> callback);

  /**
   * Requests the rows of a table that changed after a version, by long polling.
   *
   * @param afterVersion version of the store up to which changes are known, read in the current
   *     epoch
   * @param waitMillis time that the store may hold the request until the first change
   */
  void pollChanges(
      String table,
      long afterVersion,
      long waitMillis,
      Consumer<Either<Failure, RowsResponse>> callback);

  /** Creates one row; fails with a conflict and leaves the row unchanged if it exists. */
  void create(String table, String key, byte[] value, Consumer<Either<Failure, Long>> callback);

  /**
   * Replaces one row; fails with a conflict and leaves the row unchanged if it has another version.
   *
   * @param expectedVersion version that the row must have, read in the current epoch
   */
  void replace(
      String table,
      String key,
      byte[] value,
      long expectedVersion,
      Consumer<Either<Failure, Long>> callback);

  /** Writes one row unconditionally. */
  void write(String table, String key, byte[] value, Consumer<Either<Failure, Long>> callback);
}
