package org.cornelchute.entry.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.log.LogLimiter;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.store.Backoff;
import org.cornelchute.net.store.EpochTracker;
import org.cornelchute.net.store.RetryingRead;
import org.cornelchute.net.store.RowStore;
import org.cornelchute.net.store.RowsResponse;
import org.cornelchute.net.store.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the parts of prompts that are blocked in the store, for entries that start when no other
 * entry runs that knows them; must be used on the event loop only.
 *
 * <p>After the store was restored from an older copy, the parts that this entry stored or read are
 * stored again if the copy states them otherwise or lacks them.
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

  /** Parts that this entry stored or read. */
  private final Set<Long> known = new HashSet<>();

  private final Random random;

  /** Whether the parts have not been read since the store was restored. */
  private boolean restored;

  /** Whether the parts were reported to the listener. */
  private boolean reported;

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
    this.random = new Random(seed);
    store.epochs().addListener(epoch -> onEpochChanged());
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
    known.add(part);
    retryUntilStored(part, crashCount);
  }

  private void retryUntilStored(long part, int crashCount) {
    if (unconfirmed.put(part, crashCount) == null) {
      write(part, new Backoff(seed + part));
    }
  }

  /** Reads the parts again if this entry knows any that the store may have lost. */
  private void onEpochChanged() {
    restored = true;
    if (reported && !known.isEmpty()) {
      loop.schedule(read::restart, EpochTracker.drawRereadDelay(random), TimeUnit.MILLISECONDS);
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
    Map<Long, Integer> stored = new HashMap<>();
    for (StoredRow row : response.rows()) {
      decode(row, stored);
    }
    if (restored) {
      restored = false;
      storeLost(stored, response.rows());
    }
    if (!reported) {
      reported = true;
      stored.forEach(this::report);
      listener.onBlockedPartsRead();
    }
  }

  private void decode(StoredRow row, Map<Long, Integer> stored) {
    String count = new String(row.value(), StandardCharsets.UTF_8);
    if (!row.key().matches(KEY_PATTERN) || !count.matches(COUNT_PATTERN)) {
      ignoredRowLimiter.log(
          suppressed ->
              LOG.warn(
                  "row that is no blocked part ignored table={} key={} suppressed={}",
                  TABLE,
                  row.key(),
                  suppressed));
      return;
    }
    stored.put(Long.parseUnsignedLong(row.key(), HEXADECIMAL), Integer.parseInt(count));
  }

  private void report(long part, int crashCount) {
    known.add(part);
    listener.recordBlockedPart(part, crashCount);
  }

  /** Stores the known parts again, except those that were written since the store was restored. */
  private void storeLost(Map<Long, Integer> stored, List<StoredRow> rows) {
    Set<Long> rewritten = new HashSet<>();
    for (StoredRow row : rows) {
      if (row.version() > store.epochs().baseline() && row.key().matches(KEY_PATTERN)) {
        rewritten.add(Long.parseUnsignedLong(row.key(), HEXADECIMAL));
      }
    }
    for (long part : known) {
      int crashCount = listener.blockedCrashCount(part);
      int storedCount = stored.getOrDefault(part, 0);
      boolean lost = storedCount < crashCount || crashCount == 0 && storedCount > 0;
      if (lost && !rewritten.contains(part)) {
        LOG.info("blocked part stored again part={}", Long.toHexString(part));
        retryUntilStored(part, crashCount);
      }
    }
  }
}
