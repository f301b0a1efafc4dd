package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.policy.weights.Evidence;
import org.cornelchute.policy.weights.LayerRange;
import org.cornelchute.policy.weights.Manifest;
import org.cornelchute.policy.weights.StagingDecider;
import org.cornelchute.policy.weights.StagingDecider.ReadOutcome;
import org.cornelchute.policy.weights.StagingEffect;

/**
 * Executes the effects of the {@link StagingDecider} of one version on the engine's store.
 *
 * <p>Confined to the event loop.
 */
final class EngineStaging {

  /** Interval at which a staging that waits is continued. */
  private static final long TICK_MILLIS = 100;

  private final EventLoop loop;
  private final LocalEngine engine;
  private final Manifest manifest;
  private final List<byte[]> chunks;
  private final Supplier<Collection<Manifest>> manifests;
  private final LongSupplier clockMillis;
  private final Listener listener;
  private final StagingDecider decider;
  private boolean tickScheduled;

  /**
   * Creates the staging of a version.
   *
   * @param chunks verified chunks of the version
   * @param manifests supplies the manifests of all versions that are held
   */
  EngineStaging(
      EventLoop loop,
      LocalEngine engine,
      Manifest manifest,
      List<byte[]> chunks,
      Supplier<Collection<Manifest>> manifests,
      LongSupplier clockMillis,
      Listener listener) {
    this.loop = loop;
    this.engine = engine;
    this.manifest = manifest;
    this.chunks = chunks;
    this.manifests = manifests;
    this.clockMillis = clockMillis;
    this.listener = listener;
    this.decider = new StagingDecider(now(), chunks.size());
  }

  /** Writes all chunks and reads them back. */
  void start() {
    execute(decider.start(now()));
    tick();
  }

  /** Reads the chunks of some layers once more and writes those again that do not match. */
  void refresh(LayerRange layers) {
    int lastLayer = Math.min(layers.to(), manifest.layers()) - 1;
    execute(
        decider.refresh(
            now(), manifest.firstChunkOf(layers.from()), manifest.chunkAfter(lastLayer)));
    tick();
  }

  /** Reads all chunks once more. */
  void recheck(long since) {
    execute(decider.recheck(now(), since));
    tick();
  }

  /** Starts no further call. */
  void cancel(String cause) {
    execute(decider.cancel(now(), cause));
  }

  private void execute(List<StagingEffect> effects) {
    for (StagingEffect effect : effects) {
      if (effect instanceof StagingEffect.Write write) {
        engine.writeChunk(
            manifest.model(),
            write.chunk(),
            chunks.get(write.chunk()),
            result -> handleWritten(write.chunk(), result));
      } else if (effect instanceof StagingEffect.Read read) {
        engine.readChunk(
            manifest, read.chunk(), read.again(), result -> handleRead(read.chunk(), result));
      } else if (effect instanceof StagingEffect.Verified verified) {
        listener.onVerified(verified.evidence());
      } else if (effect instanceof StagingEffect.Rechecked rechecked) {
        listener.onRechecked(layersOf(rechecked.changed()), layersOf(rechecked.foreign()));
      } else if (effect instanceof StagingEffect.Ended ended) {
        listener.onEnded(ended.cause());
      }
    }
  }

  private void handleWritten(int chunk, Either<Failure, Boolean> result) {
    if (result.isLeft() && result.getLeft().code() == Failure.Code.UNKNOWN) {
      listener.onWriteLost();
    }
    execute(decider.onWritten(now(), chunk, result.isRight()));
  }

  private void handleRead(int chunk, Either<Failure, byte[]> result) {
    ReadOutcome outcome =
        result.fold(failure -> ReadOutcome.FAILED, bytes -> outcomeOf(chunk, bytes));
    execute(decider.onRead(now(), chunk, outcome));
  }

  private ReadOutcome outcomeOf(int chunk, byte[] bytes) {
    if (manifest.verifies(chunk, bytes)) {
      return ReadOutcome.SOUND;
    }
    boolean foreign = manifests.get().stream().anyMatch(m -> m.verifies(chunk, bytes));
    return foreign ? ReadOutcome.FOREIGN : ReadOutcome.BAD;
  }

  /** Continues the staging regularly until it has a result. */
  private void tick() {
    if (tickScheduled) {
      return;
    }
    tickScheduled = true;
    loop.schedule(
        () -> {
          tickScheduled = false;
          execute(decider.tick(now()));
          if (decider.isActive()) {
            tick();
          }
        },
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private Set<Integer> layersOf(Set<Integer> changedChunks) {
    Set<Integer> layers = new TreeSet<>();
    for (int layer = 0; layer < manifest.layers(); layer++) {
      int first = manifest.firstChunkOf(layer);
      int after = manifest.chunkAfter(layer);
      if (changedChunks.stream().anyMatch(chunk -> chunk >= first && chunk < after)) {
        layers.add(layer);
      }
    }
    return layers;
  }

  private long now() {
    return clockMillis.getAsLong();
  }

  /** Receives results of the staging; at each, no call to the engine's store is in progress. */
  interface Listener {

    /** Called when all chunks asked for are sound. */
    void onVerified(Evidence evidence);

    /**
     * Called after all chunks were read once more.
     *
     * @param changed layers with a chunk that did not match, or was written since the time given
     * @param foreign those of them with a chunk of another version
     */
    void onRechecked(Set<Integer> changed, Set<Integer> foreign);

    /** Called when the staging has ended without a result. */
    void onEnded(String cause);

    /** Called when a write had no response, so that it may still arrive. */
    void onWriteLost();
  }
}
