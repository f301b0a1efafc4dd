package org.cornelchute.net.store;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelchute.core.outcome.Failure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A read of the store that is repeated with exponential backoff until it succeeds.
 *
 * <p>Requests that arrive during a read are answered by one further read, because the read may have
 * missed what they were made for. Must be used on the event loop only.
 */
public final class RetryingRead {

  private static final Logger LOG = LoggerFactory.getLogger(RetryingRead.class);

  private final EventLoop loop;
  private final LongSupplier clock;
  private final String subject;
  private final Query query;
  private final Listener listener;
  private final Backoff backoff;
  private long lastRead;
  private boolean reading;
  private boolean requestedWhileReading;

  /**
   * Creates a read that sends nothing before {@link #request()}.
   *
   * @param clock steady clock in milliseconds
   * @param seed seed of the random part of the retry delays
   * @param subject name of what is read, for the log
   * @param query sends one request
   * @param listener receives the result of each successful read
   */
  public RetryingRead(
      EventLoop loop,
      LongSupplier clock,
      long seed,
      String subject,
      Query query,
      Listener listener) {
    this.loop = loop;
    this.clock = clock;
    this.subject = subject;
    this.query = query;
    this.listener = listener;
    this.backoff = new Backoff(seed);
  }

  /** Reads now, or again after the current read and its retries. */
  public void request() {
    if (reading) {
      requestedWhileReading = true;
    } else {
      restart();
    }
  }

  /** Reads now and ignores the response to a request that is still open. */
  public void restart() {
    reading = true;
    send(++lastRead);
  }

  private void send(long number) {
    if (number != lastRead) {
      return;
    }
    long requestedAt = clock.getAsLong();
    requestedWhileReading = false;
    query.send(response -> handle(number, requestedAt, response));
  }

  private void handle(long number, long requestedAt, Either<Failure, RowsResponse> response) {
    if (number != lastRead) {
      return;
    }
    if (response.isLeft()) {
      if (!backoff.isActive()) {
        LOG.warn(
            "read failed, will retry subject=\"{}\" cause={}",
            subject,
            response.getLeft().message());
      }
      loop.schedule(() -> send(number), backoff.onFailure(), TimeUnit.MILLISECONDS);
      return;
    }
    if (backoff.isActive()) {
      LOG.info("read succeeded after failures subject=\"{}\"", subject);
      backoff.reset();
    }
    reading = false;
    boolean again = requestedWhileReading;
    listener.onRead(response.get(), clock.getAsLong() - requestedAt);
    if (again) {
      request();
    }
  }

  /** Sends one request and calls back exactly once, on the event loop. */
  @FunctionalInterface
  public interface Query {

    /** Sends the request. */
    void send(Consumer<Either<Failure, RowsResponse>> callback);
  }

  /** Receives the results. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Handles a successful read.
     *
     * @param elapsedMillis time from the request to the response
     */
    void onRead(RowsResponse response, long elapsedMillis);
  }
}
