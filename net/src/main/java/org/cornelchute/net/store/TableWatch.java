package org.cornelchute.net.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.outcome.Failure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a copy of one table in step with the store by one long question after another.
 *
 * <p>A lost history means reading the table afresh. While the store fails, the copy stays as it is
 * and the questions back off.
 */
public final class TableWatch {

  private static final Logger LOG = LoggerFactory.getLogger(TableWatch.class);
  private static final long MIN_POLL_MILLIS = 1;
  private static final long INITIAL_BACKOFF_MILLIS = 60;
  private static final long MAX_BACKOFF_MILLIS = 500;

  private final EventLoop loop;
  private final RowStore store;
  private final String table;
  private final long longPollMillis;
  private final long batchDelayMillis;
  private final LongSupplier clock;
  private final Random random;
  private final Listener listener;
  private final Map<String, StoredRow> rows = new HashMap<>();
  private long version = -1;
  private long backoffMillis;
  private long unavailableSinceMillis;
  private boolean initialized;
  private boolean closed;

  /**
   * Creates a watch; {@link #start()} asks the first question.
   *
   * @param waitMillis longest time between two confirmations of an unchanged table
   * @param settleMillis pause after a change, so that changes that come in a burst cost one call
   */
  public TableWatch(
      EventLoop loop,
      RowStore store,
      String table,
      long waitMillis,
      long settleMillis,
      LongSupplier clock,
      long seed,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.table = table;
    this.longPollMillis = waitMillis;
    this.batchDelayMillis = settleMillis;
    this.clock = clock;
    this.random = new Random(seed);
    this.listener = listener;
  }

  /** Reads the table and goes on following it. */
  public void start() {
    loop.execute(this::poll);
  }

  /** Asks once, beside the long question, whether the copy is still as the store has it. */
  public void revalidate() {
    if (version < 0 || closed) {
      return;
    }
    long asked = clock.getAsLong();
    store.pollChanges(
        table,
        version,
        MIN_POLL_MILLIS,
        a -> {
          if (a.isRight() && !a.get().historyLost() && a.get().rows().isEmpty()) {
            listener.onUnchanged(asked);
          }
        });
  }

  /** Asks no further questions. */
  public void close() {
    closed = true;
  }

  private void poll() {
    if (closed) {
      return;
    }
    long asked = clock.getAsLong();
    if (version < 0) {
      store.readTable(table, a -> handleTable(asked, a));
    } else {
      // After an outage the copy is confirmed at once rather than at the end of a long question.
      long wait = backoffMillis > 0 ? MIN_POLL_MILLIS : longPollMillis;
      store.pollChanges(table, version, wait, a -> handleChanges(asked, a));
    }
  }

  private void handleTable(long asked, Either<Failure, RowsResponse> answer) {
    if (answer.isLeft()) {
      handleFailure(answer.getLeft());
      return;
    }
    handleRecovery();
    Set<String> changed = new HashSet<>(rows.keySet());
    rows.clear();
    for (StoredRow r : answer.get().rows()) {
      rows.put(r.key(), r);
      changed.add(r.key());
    }
    version = answer.get().version();
    notifyChanged(asked, answer.get(), changed);
    poll();
  }

  private void handleChanges(long asked, Either<Failure, RowsResponse> answer) {
    if (answer.isLeft()) {
      handleFailure(answer.getLeft());
      return;
    }
    handleRecovery();
    if (answer.get().historyLost()) {
      LOG.info("store history lost table={} version={}", table, version);
      version = -1;
      poll();
      return;
    }
    Set<String> changed = new HashSet<>();
    for (StoredRow r : answer.get().rows()) {
      changed.add(r.key());
      if (r.deleted()) {
        rows.remove(r.key());
      } else {
        rows.put(r.key(), r);
      }
    }
    version = Math.max(version, answer.get().version());
    if (changed.isEmpty()) {
      listener.onUnchanged(asked);
    } else {
      notifyChanged(asked, answer.get(), changed);
      if (batchDelayMillis > 0) {
        loop.schedule(this::poll, batchDelayMillis, TimeUnit.MILLISECONDS);
        return;
      }
    }
    poll();
  }

  private void notifyChanged(long asked, RowsResponse answer, Set<String> changed) {
    boolean first = !initialized;
    initialized = true;
    listener.onChanged(new TableChange(asked, answer.storeTimeMillis(), first, rows, changed));
  }

  private void handleFailure(Failure failure) {
    if (backoffMillis == 0) {
      unavailableSinceMillis = clock.getAsLong();
      LOG.warn("store lost table={} version={} cause={}", table, version, failure.message());
      listener.onUnavailable();
      backoffMillis = INITIAL_BACKOFF_MILLIS;
    }
    long pause = backoffMillis / 2 + random.nextLong(backoffMillis);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    loop.schedule(this::poll, pause, TimeUnit.MILLISECONDS);
  }

  private void handleRecovery() {
    if (backoffMillis > 0) {
      LOG.info(
          "store regained table={} outMs={}", table, clock.getAsLong() - unavailableSinceMillis);
      backoffMillis = 0;
      listener.onRecovered();
    }
  }

  /** Learns of the table; called on the event loop. */
  public interface Listener {

    /** Handles a change. */
    void onChanged(TableChange change);

    /** Handles a confirmation that nothing has changed up to {@code asked}. */
    void onUnchanged(long asked);

    /** Handles the first question that failed. */
    default void onUnavailable() {}

    /** Handles the first answer after failures. */
    default void onRecovered() {}
  }
}
