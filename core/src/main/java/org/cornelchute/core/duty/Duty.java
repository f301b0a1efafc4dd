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
 * <p>Other threads reach the state only by {@link #offer}; the ring between them is bounded, and
 * its {@link Overflow} says what happens when it is full. A runtime exception from the handler is a
 * broken invariant: it is logged and handed to the {@link FatalHandler}.
 *
 * @param <M> type of the messages
 */
public final class Duty<M> implements Service {

  /** How long a sender waits for space in a full ring. */
  private static final long WAIT_FOR_SPACE_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

  /** How much longer a duty sleeps that has nothing to do. */
  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

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
   * @param name name of the thread and prefix of its metrics
   * @param capacity size of the ring in messages
   * @param overflow what a full ring does
   * @param tickMillis longest time between two calls of {@link Handler#tick()}, in milliseconds
   * @param handler owner of the state
   * @param metrics registry for ring depth and drops
   * @param fatal receives broken invariants
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
   * Hands a message to the duty.
   *
   * @return whether the ring took it; a false answer under {@link Overflow#REFUSE} must be reported
   *     to whoever sent the work
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
      LockSupport.parkNanos(WAIT_FOR_SPACE_NANOS);
    }
    dropped.mark();
    return false;
  }

  /** Stops the thread after the message in hand; what is left in the ring is dropped. */
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
        M m = ring.poll();
        if (m != null) {
          handler.handle(m);
        }
        long now = System.nanoTime();
        if (now - nextTick >= 0) {
          handler.tick();
          nextTick = now + tickNanos;
        }
        if (m == null) {
          park(nextTick - now + (handler.isIdle() ? IDLE_NANOS : 0));
        }
      }
    } catch (RuntimeException | Error e) {
      LOG.error("duty {} met a broken invariant and stops", name, e);
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
   * Owner of the state of one duty; called by one thread only.
   *
   * @param <M> type of the messages
   */
  public interface Handler<M> {

    /** Handles one message. */
    void handle(M message);

    /** Called when the tick interval has passed. */
    default void tick() {}

    /** Returns whether ticks have nothing to do until a message comes, so that they may be rare. */
    default boolean isIdle() {
      return false;
    }
  }

  /** Receives broken invariants; a daemon's implementation ends the process. */
  @FunctionalInterface
  public interface FatalHandler {

    /** Reports that the named duty cannot go on. */
    void onFatalError(String duty, Throwable cause);
  }
}
