package org.cornelchute.net.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelchute.core.outcome.Failure;

/**
 * Writes the newest value of one row until the store has confirmed it.
 *
 * <p>One write is in progress at a time, and each is made on condition that the row has not changed
 * since this writer last saw it. A write without a response may be performed seconds later, also by
 * a process that has ended; without the condition, it would replace the newer value.
 *
 * <p>After the store was restored from an older copy, the row is read, and written again if it does
 * not hold the newest value.
 *
 * <p>All calls must be made on the event loop.
 */
public final class RowWriter {

  /** Stands for the version of a row that has not been read in the current epoch. */
  private static final long UNREAD = -1;

  private final EventLoop loop;
  private final RowStore store;
  private final String table;
  private final String key;
  private final LongSupplier retryDelayMillis;
  private final Consumer<Failure> onFailure;
  private final Random random;
  private byte[] newest;
  private boolean writing;

  /**
   * Version of the row as last seen in the current epoch, 0 if it does not exist, {@link #UNREAD}
   * if it has not been read in this epoch.
   */
  private long storedVersion;

  /**
   * Creates a writer, which assumes that the row does not exist until the store says otherwise.
   *
   * @param retryDelayMillis supplies the time after a failure until the next attempt
   * @param onFailure called for each failure other than a row that had changed
   */
  public RowWriter(
      EventLoop loop,
      RowStore store,
      String table,
      String key,
      LongSupplier retryDelayMillis,
      Consumer<Failure> onFailure) {
    this.loop = loop;
    this.store = store;
    this.table = table;
    this.key = key;
    this.retryDelayMillis = retryDelayMillis;
    this.onFailure = onFailure;
    this.random = new Random(key.hashCode());
    store.epochs().addListener(epoch -> onEpochChanged());
  }

  /** Writes a value in place of all earlier ones. */
  public void write(byte[] value) {
    newest = value;
    if (!writing) {
      writing = true;
      attempt();
    }
  }

  /** Returns whether the store has not confirmed the newest value yet. */
  public boolean isWriting() {
    return writing;
  }

  private void onEpochChanged() {
    storedVersion = UNREAD;
    if (newest != null && !writing) {
      writing = true;
      loop.schedule(this::attempt, EpochTracker.drawRereadDelay(random), TimeUnit.MILLISECONDS);
    }
  }

  private void attempt() {
    if (storedVersion == UNREAD) {
      read();
      return;
    }
    byte[] written = newest;
    store.replace(table, key, written, storedVersion, result -> handleWritten(written, result));
  }

  private void handleWritten(byte[] written, Either<Failure, Long> result) {
    if (result.isRight()) {
      storedVersion = result.get();
      confirm(written);
    } else if (result.getLeft().code() == Failure.Code.CONFLICT) {
      read();
    } else {
      retry(result.getLeft());
    }
  }

  private void read() {
    // Keys hold printable characters only, so that no other key sorts before the end of the range.
    store.readRange(table, key, key + " ", this::handleRead);
  }

  private void handleRead(Either<Failure, RowsResponse> result) {
    if (result.isLeft()) {
      retry(result.getLeft());
      return;
    }
    if (result.get().unreadableKeys().contains(key)) {
      // Nothing is known of a row of another form, which is replaced in any case.
      byte[] written = newest;
      store.write(table, key, written, r -> handleWritten(written, r));
      return;
    }
    long seenVersion = storedVersion;
    storedVersion = 0;
    for (StoredRow row : result.get().rows()) {
      if (row.key().equals(key)) {
        storedVersion = row.version();
        if (Arrays.equals(row.value(), newest)) {
          // A write without a response was performed.
          writing = false;
          return;
        }
      }
    }
    if (storedVersion == seenVersion) {
      retry(Failure.unknown("store refused the version of the row that it reports"));
    } else {
      attempt();
    }
  }

  private void confirm(byte[] written) {
    if (written == newest) {
      writing = false;
    } else {
      attempt();
    }
  }

  private void retry(Failure failure) {
    onFailure.accept(failure);
    loop.schedule(this::attempt, retryDelayMillis.getAsLong(), TimeUnit.MILLISECONDS);
  }
}
