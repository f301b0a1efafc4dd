package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cornelchute.core.outcome.Failure;
import org.cornelchute.net.store.Backoff;
import org.cornelchute.policy.weights.Manifest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads manifests from the origin, with exponential backoff and jitter between the attempts.
 *
 * <p>Must be used on the event loop only.
 */
public final class ManifestReader {

  private static final Logger LOG = LoggerFactory.getLogger(ManifestReader.class);

  private final EventLoop loop;
  private final Supplier<WeightsOrigin> origin;
  private final Random seeds;

  /**
   * Creates a reader that sends nothing before {@link #read}.
   *
   * @param origin supplies the origin; called for each attempt
   * @param seed seed of the random part of the retry delays
   */
  public ManifestReader(EventLoop loop, Supplier<WeightsOrigin> origin, long seed) {
    this.loop = loop;
    this.origin = origin;
    this.seeds = new Random(seed);
  }

  /**
   * Reads the manifest of a version.
   *
   * @param needed whether the manifest is still needed; asked before each attempt, which ends the
   *     read without a result once it is not
   * @param callback receives the manifest
   */
  public void read(
      String model, long version, BooleanSupplier needed, Consumer<Manifest> callback) {
    attempt(new Read(model, version, needed, callback, new Backoff(seeds.nextLong())));
  }

  private void attempt(Read read) {
    if (read.needed.getAsBoolean()) {
      origin.get().readManifest(read.model, read.version, result -> handle(read, result));
    }
  }

  private void handle(Read read, Either<Failure, Manifest> result) {
    if (result.isRight()) {
      read.callback.accept(result.get());
      return;
    }
    long delayMillis = read.backoff.onFailure();
    LOG.warn(
        "reading the manifest failed, will be retried version={} delayMs={} cause={}",
        read.version,
        delayMillis,
        result.getLeft().message());
    loop.schedule(() -> attempt(read), delayMillis, TimeUnit.MILLISECONDS);
  }

  private record Read(
      String model,
      long version,
      BooleanSupplier needed,
      Consumer<Manifest> callback,
      Backoff backoff) {}
}
