package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.log.LogLimiter;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.store.Backoff;
import org.cornelchute.net.store.RetryingRead;
import org.cornelchute.net.store.RowStore;
import org.cornelchute.net.store.RowsResponse;
import org.cornelchute.net.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the parts of prompts that are blocked in the store, for entries that start when no other
 * entry runs that knows them; must be used on the event loop only.
 */
public final class BlockedPartTable {

  /** Table of the parts: key in hexadecimal, value the number of crashes, 0 if cleared. */
  public static final String TABLE = "blockedparts";

  private static final Logger LOG = LoggerFactory.getLogger(BlockedPartTable.class);
  private static final int MAX_WRITE_ATTEMPTS = 6;
  private static final int HEXADECIMAL = 16;
  private static final String KEY_PATTERN = "[0-9a-f]{1,16}";
  private static final String COUNT_PATTERN = "[0-9]{1,6}";

  private final EventLoop loop;
  private final RowStore store;
  private final ServingStateListener listener;
  private final RetryingRead read;
  private final LogLimiter ignoredRowLimiter = new LogLimiter();
  private final long seed;

  /**
   * Creates an instance that has read nothing yet.
   *
   * @param clock steady clock in milliseconds
   * @param seed seed of the random part of the retry delays
   */
  public BlockedPartTable(
      EventLoop loop,
      RowStore store,
      LongSupplier clock,
      long seed,
      ServingStateListener listener) {
    this.loop = loop;
    this.store = store;
    this.listener = listener;
    this.seed = seed;
    this.read =
        new RetryingRead(
            loop,
            clock,
            seed,
            "blocked parts",
            callback -> store.readTable(TABLE, callback),
            (response, elapsedMillis) -> handleRows(response));
  }

  /** Reads the parts that are stored and reports them to the listener. */
  public void start() {
    read.request();
  }

  /** Stores a part; repeated some times if the store does not confirm it. */
  public void store(long part, int crashCount) {
    write(part, crashCount, new Backoff(seed + part), 1);
  }

  private void write(long part, int crashCount, Backoff backoff, int attempt) {
    byte[] value = Integer.toString(crashCount).getBytes(StandardCharsets.UTF_8);
    store.write(
        TABLE,
        Long.toHexString(part),
        value,
        result -> handleWritten(part, crashCount, backoff, attempt, result));
  }

  private void handleWritten(
      long part, int crashCount, Backoff backoff, int attempt, Either<Failure, Long> result) {
    if (result.isRight()) {
      return;
    }
    LOG.warn(
        "blocked part not stored part={} crashes={} attempt={} cause={}",
        Long.toHexString(part),
        crashCount,
        attempt,
        result.getLeft().message());
    if (attempt < MAX_WRITE_ATTEMPTS) {
      loop.schedule(
          () -> write(part, crashCount, backoff, attempt + 1),
          backoff.onFailure(),
          TimeUnit.MILLISECONDS);
    }
  }

  private void handleRows(RowsResponse response) {
    for (StoredRow row : response.rows()) {
      String count = new String(row.value(), StandardCharsets.UTF_8);
      if (!row.key().matches(KEY_PATTERN) || !count.matches(COUNT_PATTERN)) {
        ignoredRowLimiter.log(
            suppressed ->
                LOG.warn(
                    "row that is no blocked part ignored table={} key={} suppressed={}",
                    TABLE,
                    row.key(),
                    suppressed));
        continue;
      }
      listener.recordBlockedPart(
          Long.parseUnsignedLong(row.key(), HEXADECIMAL), Integer.parseInt(count));
    }
  }
}
