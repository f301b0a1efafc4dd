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
  private static final long AT_ONCE_MILLIS = 1;
  private static final long FIRST_BACKOFF_MILLIS = 60;
  private static final long MAX_BACKOFF_MILLIS = 500;

  private final EventLoop loop;
  private final RowStore store;
  private final String table;
  private final long waitMillis;
  private final long settleMillis;
  private final LongSupplier clock;
  private final Random random;
  private final Listener listener;
  private final Map<String, StoredRow> rows = new HashMap<>();
  private long version = -1;
  private long backoff;
  private long lostAt;
  private boolean seen;
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
    this.waitMillis = waitMillis;
    this.settleMillis = settleMillis;
    this.clock = clock;
    this.random = new Random(seed);
    this.listener = listener;
  }

  /** Reads the table and goes on following it. */
  public void start() {
    loop.execute(this::ask);
  }

  /** Asks once, beside the long question, whether the copy is still as the store has it. */
  public void confirm() {
    if (version < 0 || closed) {
      return;
    }
    long asked = clock.getAsLong();
    store.follow(
        table,
        version,
        AT_ONCE_MILLIS,
        a -> {
          if (a.isRight() && !a.get().historyLost() && a.get().rows().isEmpty()) {
            listener.unchanged(asked);
          }
        });
  }

  /** Asks no further questions. */
  public void close() {
    closed = true;
  }

  private void ask() {
    if (closed) {
      return;
    }
    long asked = clock.getAsLong();
    if (version < 0) {
      store.read(table, a -> read(asked, a));
    } else {
      // After an outage the copy is confirmed at once rather than at the end of a long question.
      long wait = backoff > 0 ? AT_ONCE_MILLIS : waitMillis;
      store.follow(table, version, wait, a -> followed(asked, a));
    }
  }

  private void read(long asked, Either<Failure, RowsAnswer> answer) {
    if (answer.isLeft()) {
      lost(answer.getLeft());
      return;
    }
    regained();
    Set<String> changed = new HashSet<>(rows.keySet());
    rows.clear();
    for (StoredRow r : answer.get().rows()) {
      rows.put(r.key(), r);
      changed.add(r.key());
    }
    version = answer.get().version();
    tell(asked, answer.get(), changed);
    ask();
  }

  private void followed(long asked, Either<Failure, RowsAnswer> answer) {
    if (answer.isLeft()) {
      lost(answer.getLeft());
      return;
    }
    regained();
    if (answer.get().historyLost()) {
      LOG.info("store history lost table={} version={}", table, version);
      version = -1;
      ask();
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
      listener.unchanged(asked);
    } else {
      tell(asked, answer.get(), changed);
      if (settleMillis > 0) {
        loop.schedule(this::ask, settleMillis, TimeUnit.MILLISECONDS);
        return;
      }
    }
    ask();
  }

  private void tell(long asked, RowsAnswer answer, Set<String> changed) {
    boolean first = !seen;
    seen = true;
    listener.changed(new TableChange(asked, answer.storeMillis(), first, rows, changed));
  }

  private void lost(Failure failure) {
    if (backoff == 0) {
      lostAt = clock.getAsLong();
      LOG.warn("store lost table={} version={} cause={}", table, version, failure.message());
      listener.lost();
      backoff = FIRST_BACKOFF_MILLIS;
    }
    long pause = backoff / 2 + random.nextLong(backoff);
    backoff = Math.min(MAX_BACKOFF_MILLIS, backoff * 2);
    loop.schedule(this::ask, pause, TimeUnit.MILLISECONDS);
  }

  private void regained() {
    if (backoff > 0) {
      LOG.info("store regained table={} outMs={}", table, clock.getAsLong() - lostAt);
      backoff = 0;
      listener.regained();
    }
  }

  /** Learns of the table; called on the event loop. */
  public interface Listener {

    /** Handles a change. */
    void changed(TableChange change);

    /** Handles a confirmation that nothing has changed up to {@code asked}. */
    void unchanged(long asked);

    /** Handles the first question that failed. */
    default void lost() {}

    /** Handles the first answer after failures. */
    default void regained() {}
  }
}
