package org.cornelchute.core.duty;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cornelchute.core.kernel.Service;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread that owns one decider's state and handles its messages in order.
 *
 * <p>Other threads access the state only through {@link #offer}, which adds a message to a bounded
 * ring; {@link Overflow} determines what happens when the ring is full. An exception thrown by the
 * handler is a programming error: it is logged and passed to the {@link FatalHandler}, and the
 * thread ends.
 *
 * @param <M> type of the messages
 */
public final class Duty<M> implements Service {

  /** Interval at which a sender retries to add a message to a full ring. */
  private static final long FULL_RING_RETRY_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

  /** Time by which the interval between ticks is extended while the handler is idle. */
  private static final long IDLE_TICK_EXTENSION_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final Logger LOG = LoggerFactory.getLogger(Duty.class);

  private final String name;
  private final MpscArrayQueue<M> ring;
  private final Overflow overflow;
  private final Handler<M> handler;
  private final long tickNanos;
  private final FatalHandler fatal;
  private final Meter dropped;
  private final Thread thread;
  private volatile boolean running = true;
  private volatile boolean parked;

  /**
   * Creates a duty; its thread runs after {@link #start()}.
   *
   * @param name name of the thread and part of the names of its metrics
   * @param capacity capacity of the ring in messages
   * @param overflow how a message is handled when the ring is full
   * @param tickMillis interval in milliseconds between calls of {@link Handler#tick()}, extended
   *     while the handler is idle
   * @param handler handles the messages and owns the state
   * @param metrics registry for the depth of the ring and the number of dropped messages
   * @param fatal called if the handler throws
   */
  public Duty(
      String name,
      int capacity,
      Overflow overflow,
      long tickMillis,
      Handler<M> handler,
      MetricRegistry metrics,
      FatalHandler fatal) {
    this.name = name;
    this.ring = new MpscArrayQueue<>(capacity);
    this.overflow = overflow;
    this.handler = handler;
    this.tickNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis);
    this.fatal = fatal;
    this.dropped = metrics.meter("ring." + name + ".dropped");
    metrics.register("ring." + name + ".depth", (Gauge<Integer>) ring::size);
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  @Override
  public void start() {
    thread.start();
  }

  /**
   * Queues a message for the duty.
   *
   * @return whether the ring accepted the message; with {@link Overflow#REFUSE} the caller must
   *     report a refused message to its sender
   */
  public boolean offer(M message) {
    while (running) {
      if (ring.offer(message)) {
        if (parked) {
          LockSupport.unpark(thread);
        }
        return true;
      }
      if (overflow != Overflow.WAIT || Thread.currentThread() == thread) {
        break;
      }
      LockSupport.parkNanos(FULL_RING_RETRY_NANOS);
    }
    dropped.mark();
    return false;
  }

  /** Stops the thread after the current message; messages left in the ring are discarded. */
  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (Thread.currentThread() == thread) {
      return;
    }
    try {
      thread.join(TimeUnit.SECONDS.toMillis(2));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    long nextTick = System.nanoTime();
    try {
      while (running) {
        M message = ring.poll();
        if (message != null) {
          handler.handle(message);
        }
        long now = System.nanoTime();
        if (now - nextTick >= 0) {
          handler.tick();
          nextTick = now + tickNanos;
        }
        if (message == null) {
          park(nextTick - now + (handler.isIdle() ? IDLE_TICK_EXTENSION_NANOS : 0));
        }
      }
    } catch (RuntimeException | Error e) {
      LOG.error("duty {} stops because of an unexpected exception", name, e);
      fatal.onFatalError(name, e);
    }
  }

  private void park(long nanos) {
    if (nanos <= 0) {
      return;
    }
    parked = true;
    if (ring.isEmpty() && running) {
      LockSupport.parkNanos(nanos);
    }
    parked = false;
  }

  /**
   * Handles the messages of one duty and owns its state; called by the duty's thread only.
   *
   * @param <M> type of the messages
   */
  public interface Handler<M> {

    /** Handles one message. */
    void handle(M message);

    /** Performs periodic work; called when the tick interval has passed. */
    default void tick() {}

    /** Returns whether there is no periodic work until the next message; ticks are then rarer. */
    default boolean isIdle() {
      return false;
    }
  }

  /** Called if a duty fails with an unexpected exception; daemons end the process. */
  @FunctionalInterface
  public interface FatalHandler {

    /** Handles the failure of the named duty, whose thread ends. */
    void onFatalError(String duty, Throwable cause);
  }
}
