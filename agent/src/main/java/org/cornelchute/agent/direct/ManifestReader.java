package org.cornelchute.agent.direct;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cornelchute.policy.weights.Manifest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads manifests from the origin, with retries. Must be used on the event loop only. */
public final class ManifestReader {

  private static final Logger LOG = LoggerFactory.getLogger(ManifestReader.class);

  private static final long RETRY_DELAY_MILLIS = 250;

  private final EventLoop loop;
  private final Supplier<WeightsOrigin> origin;

  /**
   * Creates a reader that sends nothing before {@link #read}.
   *
   * @param origin supplies the origin; called for each attempt
   */
  public ManifestReader(EventLoop loop, Supplier<WeightsOrigin> origin) {
    this.loop = loop;
    this.origin = origin;
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
    if (!needed.getAsBoolean()) {
      return;
    }
    origin
        .get()
        .readManifest(
            model,
            version,
            result -> {
              if (result.isRight()) {
                callback.accept(result.get());
                return;
              }
              LOG.warn(
                  "reading the manifest failed, will be retried version={} cause={}",
                  version,
                  result.getLeft().message());
              loop.schedule(
                  () -> read(model, version, needed, callback),
                  RETRY_DELAY_MILLIS,
                  TimeUnit.MILLISECONDS);
            });
  }
}
