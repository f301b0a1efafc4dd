package org.cornelchute.net.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.outcome.Failure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a local copy of one table up to date by long polling.
 *
 * <p>If the store has discarded part of its change history, or has been restored from an older
 * copy, the whole table is read. While requests fail, the copy stays unchanged and requests are
 * retried with exponential backoff.
 */
public final class TableWatch {

  private static final Logger LOG = LoggerFactory.getLogger(TableWatch.class);
  private static final long MIN_POLL_MILLIS = 1;

  /**
   * Delay until the table is read again after its listener failed to handle a change, or a row that
   * it needs could not be read.
   */
  private static final long RELOAD_DELAY_MILLIS = 500;

  private final EventLoop loop;
  private final RowStore store;
  private final String table;
  private final long longPollMillis;
  private final BatchDelay batchDelay;
  private final LongSupplier clock;
  private final Backoff backoff;
  private final Random random;
  private final Listener listener;
  private final Map<String, StoredRow> rows = new HashMap<>();
  private final Set<String> unreadableKeys = new HashSet<>();

  /** Version of the copy in the current epoch, negative if the whole table must be read. */
  private long version = -1;

  /** Time on the store's clock of the last response that was handled. */
  private long handledStoreMillis;

  /** Whether a request failed, or a change was not handled, since that response. */
  private boolean late;

  private long unavailableSinceMillis;
  private long lastRequest;
  private boolean requestOpen;
  private boolean initialized;

  /** Whether the table has not been read since the store was restored. */
  private boolean restored;

  private boolean closed;

  /** The next request, null if none was ever scheduled. */
  private Future<?> nextRequest;

  /**
   * Creates a watch that sends no request before {@link #start()}.
   *
   * @param longPollMillis maximum duration of a long poll, and so the longest time between two
   *     confirmations of an unchanged table
   * @param batchDelay delay of the next poll after a change, so that one request returns several
   *     changes
   * @param clock steady clock in milliseconds
   * @param seed seed of the random part of the retry delays
   */
  public TableWatch(
      EventLoop loop,
      RowStore store,
      String table,
      long longPollMillis,
      BatchDelay batchDelay,
      LongSupplier clock,
      long seed,
      Listener listener) {
    this.loop = loop;
    this.store = store;
    this.table = table;
    this.longPollMillis = longPollMillis;
    this.batchDelay = batchDelay;
    this.clock = clock;
    this.backoff = new Backoff(seed);
    this.random = new Random(seed);
    this.listener = listener;
    store.epochs().addListener(epoch -> onEpochChanged());
  }

  /** Reads the table and starts polling for changes. */
  public void start() {
    loop.execute(this::poll);
  }

  /**
   * Checks that the copy is current by one short poll, without waiting for the long poll to end.
   *
   * <p>Notifies the listener only if nothing has changed; the long poll delivers any changes.
   */
  public void revalidate() {
    if (version < 0 || closed) {
      return;
    }
    long requestedAtMillis = clock.getAsLong();
    long epoch = store.epochs().current();
    store.pollChanges(
        table,
        version,
        MIN_POLL_MILLIS,
        response -> {
          if (response.isRight()
              && epoch == store.epochs().current()
              && !response.get().historyLost()
              && response.get().rows().isEmpty()
              && response.get().unreadableKeys().isEmpty()) {
            listener.onUnchanged(requestedAtMillis);
          }
        });
  }

  /**
   * Repeats the open request, whose connection may deliver nothing further, as a short poll, and
   * ignores a response to the first one. Does nothing if the next request is scheduled anyway.
   */
  public void restart() {
    if (requestOpen) {
      sendRequest(MIN_POLL_MILLIS);
    }
  }

  /** Sends no further requests. */
  public void close() {
    closed = true;
  }

  /**
   * Reads the whole table after a random delay. The response to an open request starts from a
   * version of an earlier epoch and is ignored.
   */
  private void onEpochChanged() {
    version = -1;
    restored = true;
    lastRequest++;
    requestOpen = false;
    schedulePoll(EpochTracker.drawRereadDelay(random));
  }

  private void schedulePoll(long delayMillis) {
    if (nextRequest != null) {
      nextRequest.cancel(false);
    }
    nextRequest = loop.schedule(this::poll, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    // After an outage, a short poll confirms the copy without the delay of a long poll.
    sendRequest(backoff.isActive() ? MIN_POLL_MILLIS : longPollMillis);
  }

  private void sendRequest(long pollMillis) {
    if (closed) {
      return;
    }
    long requestedAtMillis = clock.getAsLong();
    long request = ++lastRequest;
    requestOpen = true;
    if (version < 0) {
      store.readTable(
          table,
          response -> {
            if (closeRequest(request)) {
              handleTable(requestedAtMillis, response);
            }
          });
    } else {
      store.pollChanges(
          table,
          version,
          pollMillis,
          response -> {
            if (closeRequest(request)) {
              readTableAfterLostPoll(pollMillis, response);
              handleChanges(requestedAtMillis, response);
            }
          });
    }
  }

  /** Returns whether a request is the last one, whose response must be handled. */
  private boolean closeRequest(long request) {
    if (request != lastRequest) {
      return false;
    }
    requestOpen = false;
    return true;
  }

  private void handleTable(long requestedAtMillis, Either<Failure, RowsResponse> response) {
    if (response.isLeft()) {
      handleFailure(response.getLeft());
      return;
    }
    handleRecovery();
    final Set<String> changedKeys = new HashSet<>(rows.keySet());
    rows.clear();
    unreadableKeys.clear();
    unreadableKeys.addAll(response.get().unreadableKeys());
    for (StoredRow row : response.get().rows()) {
      rows.put(row.key(), row);
      changedKeys.add(row.key());
    }
    version = response.get().version();
    if (notifyChanged(requestedAtMillis, response.get(), changedKeys)) {
      poll();
    }
  }

  /**
   * Makes the next request read the whole table if a short poll got no complete response. The
   * changes since the known version may be more than arrives within the timeout if a large row was
   * changed often and many processes reach the store again at the same time. The table holds only
   * the newest version of each row.
   */
  private void readTableAfterLostPoll(long pollMillis, Either<Failure, RowsResponse> response) {
    if (pollMillis == MIN_POLL_MILLIS
        && response.isLeft()
        && response.getLeft().code() == Failure.Code.UNKNOWN) {
      version = -1;
    }
  }

  private void handleChanges(long requestedAtMillis, Either<Failure, RowsResponse> response) {
    if (response.isLeft()) {
      handleFailure(response.getLeft());
      return;
    }
    handleRecovery();
    if (response.get().historyLost()) {
      LOG.info(
          "store discarded its change history, reading the whole table table={} version={}",
          table,
          version);
      version = -1;
      poll();
      return;
    }
    Set<String> changedKeys = new HashSet<>();
    for (StoredRow row : response.get().rows()) {
      changedKeys.add(row.key());
      unreadableKeys.remove(row.key());
      if (row.deleted()) {
        rows.remove(row.key());
      } else {
        rows.put(row.key(), row);
      }
    }
    unreadableKeys.addAll(response.get().unreadableKeys());
    version = Math.max(version, response.get().version());
    if (changedKeys.isEmpty() && response.get().unreadableKeys().isEmpty()) {
      recordHandled(response.get());
      listener.onUnchanged(requestedAtMillis);
    } else {
      if (!notifyChanged(requestedAtMillis, response.get(), changedKeys)) {
        return;
      }
      long delayMillis = batchDelay.onChange(clock.getAsLong());
      if (delayMillis > 0) {
        schedulePoll(delayMillis);
        return;
      }
    }
    poll();
  }

  /**
   * Notifies the listener and returns whether polling goes on. If the listener failed, or needs a
   * row that could not be read, the whole table is read again later, so that the change is not
   * taken for known.
   */
  private boolean notifyChanged(
      long requestedAtMillis, RowsResponse response, Set<String> changedKeys) {
    TableChange change =
        new TableChange(
            requestedAtMillis,
            response.storeTimeMillis(),
            late ? handledStoreMillis : response.storeTimeMillis(),
            !initialized,
            restored,
            rows,
            changedKeys,
            unreadableKeys);
    try {
      listener.onChanged(change);
      restored = false;
      if (unreadableKeys.stream().noneMatch(listener::needsRow)) {
        recordHandled(response);
        return true;
      }
    } catch (RuntimeException e) {
      LOG.error("change not handled, will read the table again table={}", table, e);
    }
    version = -1;
    late = true;
    schedulePoll(RELOAD_DELAY_MILLIS);
    return false;
  }

  private void recordHandled(RowsResponse response) {
    handledStoreMillis = response.storeTimeMillis();
    late = false;
    initialized = true;
  }

  private void handleFailure(Failure failure) {
    late = true;
    if (!backoff.isActive()) {
      unavailableSinceMillis = clock.getAsLong();
      LOG.warn(
          "store request failed, keeping the local copy table={} version={} cause={}",
          table,
          version,
          failure.message());
      listener.onUnavailable();
      if (failure.code() == Failure.Code.UNKNOWN) {
        listener.onNoResponse();
      }
    }
    schedulePoll(backoff.onFailure());
  }

  private void handleRecovery() {
    if (backoff.isActive()) {
      LOG.info(
          "store recovered table={} outMs={}", table, clock.getAsLong() - unavailableSinceMillis);
      backoff.reset();
      listener.onRecovered();
    }
  }

  /** Receives updates of the table, on the event loop. */
  public interface Listener {

    /** Handles the initial read or a change of the table. */
    void onChanged(TableChange change);

    /** Handles a confirmation that the table had no further changes at the given time. */
    void onUnchanged(long requestedAtMillis);

    /**
     * Returns whether the table must be read again if the row with this key could not be read.
     *
     * @param key key of the row, or {@link RowsResponse#UNREADABLE_KEY}
     */
    default boolean needsRow(String key) {
      return false;
    }

    /** Handles the first request that failed after a successful one. */
    default void onUnavailable() {}

    /** Handles such a request if it got no response, so that its connection may be silent. */
    default void onNoResponse() {}

    /** Handles the first successful response after failures. */
    default void onRecovered() {}
  }
}
