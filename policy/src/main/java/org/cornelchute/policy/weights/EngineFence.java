package org.cornelchute.policy.weights;

import java.util.Optional;
import org.cornelchute.policy.weights.LoadDecider.Engine;

/**
 * Keeps an engine from starting calls on weights that no call may start on any more.
 *
 * <p>Entries stop sending such calls in time, but a call that was sent before may arrive at any
 * later time, for example over a slow link, and cancelling it does not stop it. Only the engine
 * itself can refuse it. It does so once it holds a part of its layers only, until it loads a newer
 * version.
 *
 * <p>The fence costs no service: entries send no calls to the engine by then. A command without a
 * response is repeated with the same number of commands accepted, so that it takes effect once.
 */
final class EngineFence {

  /** Layers that a fenced engine keeps; it needs some to be commanded again. */
  private static final LayerRange KEPT_LAYERS = new LayerRange(0, 1);

  private final long retryDelayMillis;
  private long retryAt;

  /** Incarnation of the engine at the last command; 0 before the first one. */
  private long startMillis;

  /** Number of commands that it had accepted by then. */
  private long sequence;

  /** Version that it held. */
  private long version;

  /**
   * Creates a fence that is open.
   *
   * @param retryDelayMillis time after which a command without effect is repeated
   */
  EngineFence(long retryDelayMillis) {
    this.retryDelayMillis = retryDelayMillis;
  }

  /**
   * Returns the command that closes the fence, empty if it is closed or need not be.
   *
   * @param fencedAt time from which the engine may not start calls on its version
   */
  Optional<LoadEffect.Fence> check(long now, Engine engine, long fencedAt) {
    if (now < fencedAt || now < retryAt || !mayStartCalls(engine)) {
      return Optional.empty();
    }
    retryAt = now + retryDelayMillis;
    startMillis = engine.startMillis();
    sequence = engine.sequence();
    version = engine.version();
    return Optional.of(new LoadEffect.Fence(engine.version(), engine.sequence(), KEPT_LAYERS));
  }

  /**
   * Returns whether the last command that an engine has accepted has the sequence of this fence's.
   * It is another one if this fence's {@linkplain #wasRefused was refused}.
   */
  boolean isLastCommandOf(Engine engine) {
    return startMillis != 0
        && engine.startMillis() == startMillis
        && engine.sequence() == sequence + 1;
  }

  /**
   * Returns whether an engine has accepted another command of the same sequence, since it holds
   * another version. That is known only once the command is complete.
   */
  boolean wasRefused(Engine engine) {
    return isLastCommandOf(engine) && engine.version() != version;
  }

  /** Handles a command of this process that the engine has accepted since. */
  void forgetCommand() {
    startMillis = 0;
  }

  /** Returns whether an engine may start calls and reports its layers, so that it can be fenced. */
  private static boolean mayStartCalls(Engine engine) {
    boolean hasPart = engine.layers().to() - engine.layers().from() <= 1;
    return engine.reachable()
        && !engine.busy()
        && engine.version() > 0
        && !engine.layers().equals(LayerRange.ALL)
        && !hasPart;
  }
}
