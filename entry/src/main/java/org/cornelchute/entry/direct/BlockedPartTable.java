package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
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
  private static final int HEXADECIMAL = 16;
  private static final String KEY_PATTERN = "[0-9a-f]{1,16}";
  private static final String COUNT_PATTERN = "[0-9]{1,6}";

  private final EventLoop loop;
  private final RowStore store;
  private final ServingStateListener listener;
  private final RetryingRead read;
  private final LogLimiter ignoredRowLimiter = new LogLimiter();
  private final long seed;

  /** Newest number of crashes by part that the store has not confirmed. */
  private final Map<Long, Integer> unconfirmed = new HashMap<>();

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
    listener.awaitBlockedParts();
    read.request();
  }

  /**
   * Stores a part; repeated until the store has confirmed it. One write of a part is in progress at
   * a time, so that an earlier state cannot replace a later one.
   */
  public void store(long part, int crashCount) {
    if (unconfirmed.put(part, crashCount) == null) {
      write(part, new Backoff(seed + part));
    }
  }

  private void write(long part, Backoff backoff) {
    int crashCount = unconfirmed.get(part);
    store.write(
        TABLE,
        Long.toHexString(part),
        Integer.toString(crashCount).getBytes(StandardCharsets.UTF_8),
        result -> handleWritten(part, crashCount, backoff, result));
  }

  private void handleWritten(
      long part, int crashCount, Backoff backoff, Either<Failure, Long> result) {
    if (result.isRight()) {
      if (!unconfirmed.remove(part, crashCount)) {
        write(part, backoff);
      }
      return;
    }
    if (!backoff.isActive()) {
      LOG.warn(
          "blocked part not stored, will retry part={} crashes={} cause={}",
          Long.toHexString(part),
          crashCount,
          result.getLeft().message());
    }
    loop.schedule(() -> write(part, backoff), backoff.onFailure(), TimeUnit.MILLISECONDS);
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
    listener.onBlockedPartsRead();
  }
}
