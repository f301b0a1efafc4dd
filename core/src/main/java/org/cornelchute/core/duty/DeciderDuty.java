package org.cornelchute.core.duty;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelchute.core.kernel.Service;

/**
 * A duty that owns a decider: it applies inputs to the decider in order and executes the resulting
 * effects.
 *
 * @param <D> type of the decider
 * @param <E> type of its effects
 */
public final class DeciderDuty<D, E> implements Service {

  private final D decider;
  private final LongSupplier clock;
  private final Consumer<E> executor;
  private final Duty<Input<D, E>> duty;

  /**
   * Creates a duty; its thread runs after {@link #start()}.
   *
   * @param options name, ring and tick interval of the duty
   * @param decider the state, accessed by the duty's thread only
   * @param tick input applied at every tick
   * @param executor executes effects; must not block
   * @param clock monotonic clock in milliseconds
   * @param metrics registry for the depth of the ring and the number of dropped messages
   * @param fatal called if the duty fails with an unexpected exception
   */
  public DeciderDuty(
      Options options,
      D decider,
      Input<D, E> tick,
      Consumer<E> executor,
      LongSupplier clock,
      MetricRegistry metrics,
      Duty.FatalHandler fatal) {
    this.decider = decider;
    this.clock = clock;
    this.executor = executor;
    this.duty =
        new Duty<>(
            options.name(),
            options.capacity(),
            options.overflow(),
            options.tickMillis(),
            new Duty.Handler<>() {
              @Override
              public void handle(Input<D, E> input) {
                apply(input);
              }

              @Override
              public void tick() {
                apply(tick);
              }
            },
            metrics,
            fatal);
  }

  @Override
  public void start() {
    duty.start();
  }

  /** Queues an input for the duty; returns whether the ring accepted it. */
  public boolean offer(Input<D, E> input) {
    return duty.offer(input);
  }

  @Override
  public void close() {
    duty.close();
  }

  private void apply(Input<D, E> input) {
    List<E> effects = input.applyTo(decider, clock.getAsLong());
    for (E effect : effects) {
      executor.accept(effect);
    }
  }

  /**
   * An input to a decider together with its data.
   *
   * @param <D> type of the decider
   * @param <E> type of its effects
   */
  @FunctionalInterface
  public interface Input<D, E> {

    /** Applies the input to the decider and returns the effects, never null. */
    List<E> applyTo(D decider, long now);
  }

  /**
   * Options of a duty.
   *
   * @param name name of the thread and part of the names of its metrics
   * @param capacity capacity of the ring in messages
   * @param overflow how a message is handled when the ring is full
   * @param tickMillis interval between ticks in milliseconds
   */
  public record Options(String name, int capacity, Overflow overflow, long tickMillis) {}
}
