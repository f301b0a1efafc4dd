package org.cornelchute.core.duty;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cornelchute.core.kernel.Service;

/**
 * A duty whose state is one pure decider: it applies inputs in order and executes the effects.
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
   * @param limits name, ring and tick of the duty
   * @param decider the state, touched by the duty's thread only
   * @param tick input applied at every tick
   * @param executor executes effects; must not block
   * @param clock monotonic milliseconds
   * @param metrics registry for ring depth and drops
   * @param fatal receives broken invariants
   */
  public DeciderDuty(
      Options limits,
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
            limits.name(),
            limits.capacity(),
            limits.overflow(),
            limits.tickMillis(),
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

  /** Hands an input to the duty; returns whether the ring took it. */
  public boolean offer(Input<D, E> input) {
    return duty.offer(input);
  }

  @Override
  public void close() {
    duty.close();
  }

  private void apply(Input<D, E> input) {
    List<E> effects = input.applyTo(decider, clock.getAsLong());
    for (E e : effects) {
      executor.accept(e);
    }
  }

  /**
   * One input, bound to its data.
   *
   * @param <D> type of the decider
   * @param <E> type of its effects
   */
  @FunctionalInterface
  public interface Input<D, E> {

    /** Applies the input and returns the effects, never null. */
    List<E> applyTo(D decider, long now);
  }

  /**
   * Limits of a duty.
   *
   * @param name name of the thread and prefix of its metrics
   * @param capacity size of the ring
   * @param overflow what a full ring does
   * @param tickMillis longest time between two ticks, in milliseconds
   */
  public record Options(String name, int capacity, Overflow overflow, long tickMillis) {}
}
