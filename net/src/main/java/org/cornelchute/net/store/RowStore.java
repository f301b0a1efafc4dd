package org.cornelchute.net.store;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.cornelchute.core.outcome.Failure;

/** A table service; answers come on the event loop, exactly one for each call. */
public interface RowStore {

  /** Reads every row of a table. */
  void readTable(String table, Consumer<Either<Failure, RowsResponse>> answer);

  /**
   * Asks for rows of a table that changed after a version.
   *
   * @param waitMillis time that the store may wait for the first change
   */
  void pollChanges(
      String table, long after, long waitMillis, Consumer<Either<Failure, RowsResponse>> answer);

  /** Writes one row that does not exist yet; a row that exists is a conflict and stays. */
  void create(String table, String key, byte[] value, Consumer<Either<Failure, Long>> answer);

  /** Writes one row whatever it held before. */
  void write(String table, String key, byte[] value, Consumer<Either<Failure, Long>> answer);
}
